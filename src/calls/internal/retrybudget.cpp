#include "calls/retrybudget.h"

#include <algorithm>

namespace cranberryspool::calls {

namespace {
constexpr std::uint64_t MilliTokensPerToken = 1000;
} // namespace

RetryBudget::RetryBudget(std::uint32_t EarnedPerThousand,
                         std::uint32_t Capacity, std::uint32_t Initial)
    : EarnedPerThousand_(EarnedPerThousand),
      CapacityMilliTokens_(Capacity * MilliTokensPerToken),
      MilliTokens_(std::min(Initial, Capacity) * MilliTokensPerToken) {}

void RetryBudget::recordSuccess() {
  MilliTokens_ =
      std::min(CapacityMilliTokens_, MilliTokens_ + EarnedPerThousand_);
}

bool RetryBudget::tryTake() {
  if (MilliTokens_ < MilliTokensPerToken)
    return false;
  MilliTokens_ -= MilliTokensPerToken;
  return true;
}

} // namespace cranberryspool::calls
