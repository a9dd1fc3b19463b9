#include "routing/internal/targethealth.h"

#include <algorithm>

namespace cranberryspool::routing {

namespace {

using framework::Duration;
using framework::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t FailuresToEject = 3;
constexpr double FailureRatioToEject = 0.5;
constexpr double FailureRatioWeight = 0.2;
constexpr Duration BaseEjectionTime = milliseconds(200);
constexpr std::uint32_t MaxEjectionDoublings = 6;
/// A target that fails again after this time is ejected for `BaseEjectionTime`,
/// however often it was ejected before.
constexpr Duration EjectionStreakReset = seconds(30);
constexpr Duration BaseShedBackoff = milliseconds(5);
constexpr std::uint32_t MaxBackoffDoublings = 5;
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
          FailureRatio_ >= FailureRatioToEject);
}

void TargetHealth::eject(Instant Now) {
  if (Now - RestoredAt_ > EjectionStreakReset)
    EjectionStreak_ = 0;
  const auto Doublings = std::min(EjectionStreak_, MaxEjectionDoublings);
  BlockedUntil_ = Now + BaseEjectionTime * (1LL << Doublings);
  ++EjectionStreak_;
  IsEjected_ = true;
}

void TargetHealth::restore(Instant Now) {
  IsEjected_ = false;
  IsRamping_ = true;
  RampLimit_ = 1;
  // One more failure ejects the target again; only a success restores the full
  // number of failures that it may have.
  ConsecutiveFailures_ = FailuresToEject - 1;
  FailureRatio_ = 0;
  RestoredAt_ = Now;
}

void TargetHealth::reset() { *this = TargetHealth(); }

std::uint32_t TargetHealth::inFlightLimit(std::uint32_t Slots) const {
  const std::uint32_t SlotLimit = std::max(Slots, 1U);
  return IsRamping_ ? std::min(RampLimit_, SlotLimit) : SlotLimit;
}

void TargetHealth::recordFailure() {
  ++ConsecutiveFailures_;
  FailureRatio_ += FailureRatioWeight * (1 - FailureRatio_);
}

void TargetHealth::recordSuccess(Instant) {
  ConsecutiveFailures_ = 0;
  ConsecutiveSheds_ = 0;
  FailureRatio_ -= FailureRatioWeight * FailureRatio_;
  if (!IsRamping_)
    return;
  RampLimit_ *= 2;
  IsRamping_ = RampLimit_ < MaxRampLimit;
}

void TargetHealth::recordShed(Instant Now) {
  const auto Doublings = std::min(ConsecutiveSheds_, MaxBackoffDoublings);
  ++ConsecutiveSheds_;
  if (!IsEjected_)
    BlockedUntil_ = Now + BaseShedBackoff * (1LL << Doublings);
}

} // namespace cranberryspool::routing
