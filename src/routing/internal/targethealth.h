#ifndef CRANBERRYSPOOL_ROUTING_INTERNAL_TARGETHEALTH_H
#define CRANBERRYSPOOL_ROUTING_INTERNAL_TARGETHEALTH_H

#include "framework/time.h"
#include "routing/types/attemptresult.h"

#include <cstdint>

namespace cranberryspool::routing {

/// Decides by the results of its attempts whether a target is failing
/// (outlier detection). The length of its queue is ignored, because a target
/// that fails fast looks idle. The limit on the number of ejected targets is
/// applied by `TargetRegistry`.
class TargetHealth {
public:
  /// Records the result of an attempt.
  void record(AttemptResult Result, framework::Instant Now);

  /// Returns true when the recent results require an ejection.
  bool isFailing() const;

  /// Starts an ejection. It is longer when it follows soon after another one.
  void eject(framework::Instant Now);

  /// Ends the ejection. The target is limited to one attempt in flight at
  /// first; each success doubles the limit.
  void restore(framework::Instant Now);

  /// Discards all recorded results, for a target that has restarted.
  void reset();

  bool isEjected() const { return IsEjected_; }

  /// Returns the end of the ejection or of the back-off after a response that
  /// the request was not run.
  framework::Instant blockedUntil() const { return BlockedUntil_; }

  /// Returns true while the target gets no attempts because it is ejected or
  /// shed the last ones.
  bool isBlocked(framework::Instant Now) const { return Now < BlockedUntil_; }

  /// Returns how many attempts this instance may have in flight at the target.
  std::uint32_t inFlightLimit(std::uint32_t Slots) const;

private:
  void recordFailure();
  void recordSuccess(framework::Instant Now);
  void recordShed(framework::Instant Now);

  bool IsEjected_ = false;
  bool IsRamping_ = false;
  std::uint32_t RampLimit_ = 1;
  std::uint32_t ConsecutiveFailures_ = 0;
  std::uint32_t ConsecutiveSheds_ = 0;
  std::uint32_t EjectionStreak_ = 0;
  /// The moving average of the results, with 1 for a failure and 0 for a
  /// success.
  double FailureRatio_ = 0;
  framework::Instant BlockedUntil_{};
  framework::Instant RestoredAt_{};
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_INTERNAL_TARGETHEALTH_H
