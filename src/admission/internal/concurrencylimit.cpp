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
/// Therefore the initial limit is the even share of the slots plus this many
/// standard deviations of a Poisson distribution with that mean, and one. In an
/// overload it falls to the even share, or else the sum of all instances'
/// limits would fill the queues of all targets. For the fewer urgent calls it
/// stays higher, so that they do not wait while other instances leave slots
/// free.
constexpr double InitialLimitDeviations = 2;
constexpr double MinUrgentLimitDeviations = 3;
/// The limit of urgent calls relative to that of ordinary ones.
constexpr double UrgentFactor = 1.2;
/// The increase of the limit in the time in which as many calls are answered as
/// it allows, and the increase of the margin of urgent calls with each answer.
constexpr double LimitIncrease = 0.3;
constexpr double MarginIncrease = 0.02;
constexpr double AverageWeight = 0.05;
constexpr double BaselineRiseWeight = 0.0005;
constexpr double MaxLatencyRatio = 2;
constexpr double SlowDecreaseFactor = 0.95;
/// Stronger, because a non-idempotent call that a full target resets is lost.
constexpr double RejectionDecreaseFactor = 0.75;
constexpr Duration MinDecreaseInterval = std::chrono::milliseconds(20);

} // namespace

void ConcurrencyLimit::setCapacity(ServiceCapacity Capacity) {
  Slots_ = std::max(Capacity.Slots_, 1U);
  const double Share = Slots_ / std::max(Capacity.Instances_, 1U);
  const double Deviation = std::sqrt(Share);
  const double InitialLimit = Share + InitialLimitDeviations * Deviation + 1;
  const double MinLimit = std::max(Share, 1.0);
  const bool HasShareFallen = MinLimit < MinLimit_;
  MinLimit_ = MinLimit;
  MaxUrgentMargin_ = MinUrgentLimitDeviations * Deviation;
  if (Limit_ == 0 || HasShareFallen) {
    Limit_ = Limit_ == 0 ? InitialLimit : std::min(Limit_, InitialLimit);
    UrgentMargin_ = MaxUrgentMargin_;
  }
  Limit_ = std::clamp(Limit_, MinLimit_, Slots_);
}

void ConcurrencyLimit::recordAnswered(Duration Elapsed, bool WasAtLimit,
                                      routing::ServiceLoad Load, Instant Now) {
  const auto Sample = static_cast<double>(Elapsed.count());
  if (AverageMicros_ == 0)
    AverageMicros_ = BaselineMicros_ = Sample;
  AverageMicros_ += AverageWeight * (Sample - AverageMicros_);
  // During an overload the latency keeps growing; it must not become the
  // baseline.
  const double RaisedBaseline =
      BaselineMicros_ * (1 + (WasAtLimit ? 0 : BaselineRiseWeight));
  BaselineMicros_ = std::min(AverageMicros_, RaisedBaseline);
  const bool IsSlow = AverageMicros_ > MaxLatencyRatio * BaselineMicros_ ||
                      Load == routing::ServiceLoad::Saturated;
  if (IsSlow && WasAtLimit)
    return decrease(SlowDecreaseFactor, Now);
  UrgentMargin_ = std::min(UrgentMargin_ + MarginIncrease, MaxUrgentMargin_);
  if (!IsSlow && WasAtLimit)
    Limit_ = std::min(Limit_ + LimitIncrease / Limit_, Slots_);
}

void ConcurrencyLimit::recordOverload(Instant Now) {
  if (Now - DecreasedAt_ < MinDecreaseInterval)
    return;
  UrgentMargin_ *= RejectionDecreaseFactor;
  decrease(RejectionDecreaseFactor, Now);
}

std::uint32_t ConcurrencyLimit::limit(document::Urgency Urgency) const {
  if (Share_)
    return *Share_ + (Urgency == document::Urgency::Urgent ? 1U : 0U);
  const double Reserved = UrgentReserve * Slots_;
  const double Ordinary = std::min(Limit_, Slots_ - Reserved);
  const double Urgent = std::min(
      std::max(Limit_ * UrgentFactor, MinLimit_ + UrgentMargin_), Slots_);
  const bool IsUrgent = Urgency == document::Urgency::Urgent;
  const auto Rounded = std::lround(IsUrgent ? Urgent : Ordinary);
  return static_cast<std::uint32_t>(std::max(Rounded, 1L));
}

Duration ConcurrencyLimit::averageLatency() const {
  return Duration(std::llround(AverageMicros_));
}

void ConcurrencyLimit::decrease(double Factor, Instant Now) {
  if (Now - DecreasedAt_ < MinDecreaseInterval)
    return;
  DecreasedAt_ = Now;
  Limit_ = std::max(Limit_ * Factor, MinLimit_);
}

} // namespace cranberryspool::admission
