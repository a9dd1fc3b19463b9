#include "entry/internal/retryafter.h"

#include <algorithm>
#include <cstdio>

namespace cranberryspool::entry {

std::string retryAfterText(framework::Duration Wait,
                           const HttpProfile &Profile) {
  if (!Profile.IsRetryAfterFractional_) {
    const auto Seconds = std::chrono::ceil<std::chrono::seconds>(Wait).count();
    return std::to_string(std::max<std::int64_t>(Seconds, 1));
  }
  const auto Millis =
      std::chrono::ceil<std::chrono::milliseconds>(Wait).count();
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%lld.%03lld",
                static_cast<long long>(Millis / 1000),
                static_cast<long long>(Millis % 1000));
  return Text;
}

} // namespace cranberryspool::entry
