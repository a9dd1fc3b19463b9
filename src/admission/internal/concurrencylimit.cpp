#include "admission/internal/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace cranberryspool::admission {

namespace {

using framework::Duration;
using framework::Instant;

/// The fraction of the slots that is reserved for urgent calls.
constexpr double UrgentReserve = 0.2;
/// The calls of a service are distributed unevenly over the instances.
/// Therefore the limit is at least the even share of the slots plus this many
/// standard deviations of a Poisson distribution with that mean. Its initial
/// value is somewhat higher.
constexpr double MinLimitDeviations = 3;
constexpr double InitialLimitDeviations = 4;
constexpr double AverageWeight = 0.05;
constexpr double BaselineRiseWeight = 0.0005;
constexpr double MaxLatencyRatio = 2;
constexpr double DecreaseFactor = 0.95;
constexpr Duration MinDecreaseInterval = std::chrono::milliseconds(20);

} // namespace

void ConcurrencyLimit::setCapacity(ServiceCapacity Capacity) {
  Slots_ = std::max(Capacity.Slots_, 1U);
  const double Share = Slots_ / std::max(Capacity.Instances_, 1U);
  MinLimit_ = std::max(Share + MinLimitDeviations * std::sqrt(Share), 1.0);
  if (Limit_ == 0)
    Limit_ = Share + InitialLimitDeviations * std::sqrt(Share) + 1;
  Limit_ = std::clamp(Limit_, MinLimit_, Slots_);
}

void ConcurrencyLimit::recordAnswered(Duration Elapsed, bool WasAtLimit,
                                      Instant Now) {
  const auto Sample = static_cast<double>(Elapsed.count());
  if (AverageMicros_ == 0)
    AverageMicros_ = BaselineMicros_ = Sample;
  AverageMicros_ += AverageWeight * (Sample - AverageMicros_);
  // During an overload the latency keeps growing; it must not become the
  // baseline.
  const double RaisedBaseline =
      BaselineMicros_ * (1 + (WasAtLimit ? 0 : BaselineRiseWeight));
  BaselineMicros_ = std::min(AverageMicros_, RaisedBaseline);
  const bool IsSlow = AverageMicros_ > MaxLatencyRatio * BaselineMicros_;
  if (IsSlow && WasAtLimit)
    return decrease(Now);
  if (!IsSlow && WasAtLimit)
    Limit_ = std::min(Limit_ + 1 / Limit_, Slots_);
}

void ConcurrencyLimit::recordOverload(Instant Now) { decrease(Now); }

std::uint32_t ConcurrencyLimit::limit(document::Urgency Urgency) const {
  const double Reserved = UrgentReserve * Slots_;
  const double Ordinary = std::min(Limit_, Slots_ - Reserved);
  const double Urgent = std::min(Limit_ * (1 + UrgentReserve) + 1, Slots_);
  const bool IsUrgent = Urgency == document::Urgency::Urgent;
  const auto Rounded = std::lround(IsUrgent ? Urgent : Ordinary);
  return static_cast<std::uint32_t>(std::max(Rounded, 1L));
}

Duration ConcurrencyLimit::averageLatency() const {
  return Duration(std::llround(AverageMicros_));
}

void ConcurrencyLimit::decrease(Instant Now) {
  if (Now - DecreasedAt_ < MinDecreaseInterval)
    return;
  DecreasedAt_ = Now;
  Limit_ = std::max(Limit_ * DecreaseFactor, MinLimit_);
}

} // namespace cranberryspool::admission
