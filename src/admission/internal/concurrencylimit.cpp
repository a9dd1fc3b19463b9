#include "admission/internal/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace cranberryspool::admission {

namespace {

using framework::Duration;
using framework::Instant;

/// A service's calls spread unevenly over the instances: the limit starts at
/// so many times the even share and moves between the floor and all slots.
constexpr double StartShares = 3;
constexpr double FloorShares = 1;
constexpr double ReservedForUrgent = 0.2;
constexpr double AverageWeight = 0.05;
constexpr double BaseRiseWeight = 0.0005;
constexpr double ToleratedSlowness = 2;
constexpr double ShrinkFactor = 0.98;
constexpr double OverloadFactor = 0.9;
constexpr Duration OverloadInterval = std::chrono::milliseconds(20);

} // namespace

void ConcurrencyLimit::setCapacity(ServiceCapacity Capacity) {
  const double Slots = std::max(Capacity.Slots_, 1U);
  const double Share = Slots / std::max(Capacity.Instances_, 1U);
  Floor_ = std::max(FloorShares * Share, 1.0);
  Ceiling_ = std::max(Slots, Floor_);
  const double Start = std::max(StartShares * Share, 2.0);
  if (Limit_ <= 1)
    Limit_ = Start;
  Limit_ = std::clamp(Limit_, Floor_, Ceiling_);
}

void ConcurrencyLimit::noteAnswered(Duration Elapsed, bool WasAtLimit) {
  const auto Sample = static_cast<double>(Elapsed.count());
  if (AverageMicros_ == 0)
    AverageMicros_ = BaseMicros_ = Sample;
  AverageMicros_ += AverageWeight * (Sample - AverageMicros_);
  BaseMicros_ = std::min(AverageMicros_, BaseMicros_ * (1 + BaseRiseWeight));
  if (AverageMicros_ > ToleratedSlowness * BaseMicros_)
    return shrink();
  if (WasAtLimit)
    grow();
}

void ConcurrencyLimit::noteOverload(Instant Now) {
  if (Now - LastOverload_ < OverloadInterval)
    return;
  LastOverload_ = Now;
  Limit_ = std::max(Limit_ * OverloadFactor, Floor_);
}

std::uint32_t ConcurrencyLimit::limit(document::Urgency Urgency) const {
  const auto Whole = static_cast<std::uint32_t>(std::lround(Limit_));
  if (Urgency == document::Urgency::Urgent)
    return std::max(Whole, 1U);
  const auto Kept =
      static_cast<std::uint32_t>(std::lround(Limit_ * ReservedForUrgent));
  return std::max(Whole - std::min(Kept, Whole), 1U);
}

Duration ConcurrencyLimit::averageTime() const {
  return Duration(std::llround(AverageMicros_));
}

void ConcurrencyLimit::grow() {
  Limit_ = std::min(Limit_ + 1 / Limit_, Ceiling_);
}

void ConcurrencyLimit::shrink() {
  Limit_ = std::max(Limit_ * ShrinkFactor, Floor_);
}

} // namespace cranberryspool::admission
