#include "admission/internal/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace cranberryspool::admission {

namespace {

using framework::Duration;
using framework::Instant;

/// The part of the slots that ordinary calls leave to urgent ones.
constexpr double ReservedForUrgent = 0.2;
/// A service's calls spread unevenly over the instances: the limit is never
/// below the even share and so many standard deviations of as many random
/// arrivals, and starts somewhat higher.
constexpr double FloorDeviations = 3;
constexpr double StartDeviations = 4;
constexpr double AverageWeight = 0.05;
constexpr double BaseRiseWeight = 0.0005;
constexpr double ToleratedSlowness = 2;
constexpr double ShrinkFactor = 0.95;
constexpr Duration ShrinkInterval = std::chrono::milliseconds(20);

} // namespace

void ConcurrencyLimit::setCapacity(ServiceCapacity Capacity) {
  Slots_ = std::max(Capacity.Slots_, 1U);
  const double Share = Slots_ / std::max(Capacity.Instances_, 1U);
  Floor_ = std::max(Share + FloorDeviations * std::sqrt(Share), 1.0);
  if (Limit_ == 0)
    Limit_ = Share + StartDeviations * std::sqrt(Share) + 1;
  Limit_ = std::clamp(Limit_, Floor_, Slots_);
}

void ConcurrencyLimit::recordAnswered(Duration Elapsed, bool WasAtLimit,
                                      Instant Now) {
  const auto Sample = static_cast<double>(Elapsed.count());
  if (AverageMicros_ == 0)
    AverageMicros_ = BaseMicros_ = Sample;
  AverageMicros_ += AverageWeight * (Sample - AverageMicros_);
  // Under overload the time of answers grows for as long as it lasts; that
  // must not become the new normal.
  const double Risen = BaseMicros_ * (1 + (WasAtLimit ? 0 : BaseRiseWeight));
  BaseMicros_ = std::min(AverageMicros_, Risen);
  const bool IsSlow = AverageMicros_ > ToleratedSlowness * BaseMicros_;
  if (IsSlow && WasAtLimit)
    return shrink(Now);
  if (!IsSlow && WasAtLimit)
    Limit_ = std::min(Limit_ + 1 / Limit_, Slots_);
}

void ConcurrencyLimit::recordOverload(Instant Now) { shrink(Now); }

std::uint32_t ConcurrencyLimit::limit(document::Urgency Urgency) const {
  const double Reserved = ReservedForUrgent * Slots_;
  const double Ordinary = std::min(Limit_, Slots_ - Reserved);
  const double Urgent = std::min(Limit_ * (1 + ReservedForUrgent) + 1, Slots_);
  const bool IsUrgent = Urgency == document::Urgency::Urgent;
  const auto Whole = std::lround(IsUrgent ? Urgent : Ordinary);
  return static_cast<std::uint32_t>(std::max(Whole, 1L));
}

Duration ConcurrencyLimit::averageTime() const {
  return Duration(std::llround(AverageMicros_));
}

void ConcurrencyLimit::shrink(Instant Now) {
  if (Now - ShrunkAt_ < ShrinkInterval)
    return;
  ShrunkAt_ = Now;
  Limit_ = std::max(Limit_ * ShrinkFactor, Floor_);
}

} // namespace cranberryspool::admission
