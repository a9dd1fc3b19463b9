#include "calls/retrybudget.h"

#include <algorithm>

namespace cranberryspool::calls {

namespace {
constexpr std::uint64_t MilliPerToken = 1000;
} // namespace

RetryBudget::RetryBudget(std::uint32_t EarnedPerThousand,
                         std::uint32_t Capacity, std::uint32_t Initial)
    : EarnedPerThousand_(EarnedPerThousand),
      CapacityMilli_(Capacity * MilliPerToken),
      Milli_(std::min(Initial, Capacity) * MilliPerToken) {}

void RetryBudget::recordSuccess() {
  Milli_ = std::min(CapacityMilli_, Milli_ + EarnedPerThousand_);
}

bool RetryBudget::tryTake() {
  if (Milli_ < MilliPerToken)
    return false;
  Milli_ -= MilliPerToken;
  return true;
}

} // namespace cranberryspool::calls
