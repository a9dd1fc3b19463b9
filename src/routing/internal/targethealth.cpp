#include "routing/internal/targethealth.h"

#include <algorithm>

namespace cranberryspool::routing {

namespace {

using framework::Duration;
using framework::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t FailuresToEject = 3;
constexpr double FailureShareToEject = 0.5;
constexpr double FailureShareWeight = 0.2;
constexpr Duration FirstEjection = milliseconds(200);
constexpr std::uint32_t MaxEjectionDoublings = 6;
/// A target that stays well for so long starts again at the first ejection.
constexpr Duration StreakMemory = seconds(30);
constexpr Duration FirstShedPause = milliseconds(5);
constexpr std::uint32_t MaxShedDoublings = 5;
constexpr std::uint32_t MaxRampLimit = 1U << 16U;

} // namespace

void TargetHealth::record(AttemptResult Result, Instant Now) {
  switch (Result) {
  case AttemptResult::Answered:
    return recordSuccess(Now);
  case AttemptResult::ServerError:
  case AttemptResult::ConnectionFailed:
  case AttemptResult::TimedOut:
    return recordFailure();
  case AttemptResult::NotRun:
    return recordShed(Now);
  case AttemptResult::NotConnected:
  case AttemptResult::ConnectionSilent:
  case AttemptResult::Cancelled:
    return;
  }
}

bool TargetHealth::isFailing() const {
  return !IsEjected_ && ConsecutiveFailures_ > 0 &&
         (ConsecutiveFailures_ >= FailuresToEject ||
          FailureShare_ >= FailureShareToEject);
}

void TargetHealth::eject(Instant Now) {
  if (Now - RestoredAt_ > StreakMemory)
    EjectionStreak_ = 0;
  const auto Doublings = std::min(EjectionStreak_, MaxEjectionDoublings);
  BlockedUntil_ = Now + FirstEjection * (1LL << Doublings);
  ++EjectionStreak_;
  IsEjected_ = true;
}

void TargetHealth::restore(Instant Now) {
  IsEjected_ = false;
  IsRamping_ = true;
  RampLimit_ = 1;
  // One more failure ejects it again; successes have to earn the full margin.
  ConsecutiveFailures_ = FailuresToEject - 1;
  FailureShare_ = 0;
  RestoredAt_ = Now;
}

void TargetHealth::reset() { *this = TargetHealth(); }

std::uint32_t TargetHealth::limit(std::uint32_t Slots) const {
  const std::uint32_t Full = std::max(Slots, 1U);
  return IsRamping_ ? std::min(RampLimit_, Full) : Full;
}

void TargetHealth::recordFailure() {
  ++ConsecutiveFailures_;
  FailureShare_ += FailureShareWeight * (1 - FailureShare_);
}

void TargetHealth::recordSuccess(Instant) {
  ConsecutiveFailures_ = 0;
  ConsecutiveSheds_ = 0;
  FailureShare_ -= FailureShareWeight * FailureShare_;
  if (!IsRamping_)
    return;
  RampLimit_ *= 2;
  IsRamping_ = RampLimit_ < MaxRampLimit;
}

void TargetHealth::recordShed(Instant Now) {
  const auto Doublings = std::min(ConsecutiveSheds_, MaxShedDoublings);
  ++ConsecutiveSheds_;
  if (!IsEjected_)
    BlockedUntil_ = Now + FirstShedPause * (1LL << Doublings);
}

} // namespace cranberryspool::routing
