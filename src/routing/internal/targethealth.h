#ifndef CRANBERRYSPOOL_ROUTING_INTERNAL_TARGETHEALTH_H
#define CRANBERRYSPOOL_ROUTING_INTERNAL_TARGETHEALTH_H

#include "framework/time.h"
#include "routing/types/attemptresult.h"

#include <cstdint>

namespace cranberryspool::routing {

/// Judges a target by the success of its attempts, never by its queue: a target
/// that fails fast looks idle. Does not know the bound on ejections; the owner
/// of all targets applies it.
class TargetHealth {
public:
  /// Takes the end of an attempt into account.
  void record(AttemptResult Result, framework::Instant Now);

  /// True when the recent attempts call for an ejection.
  bool isFailing() const;

  /// Starts an ejection; each one that follows soon after another is longer.
  void eject(framework::Instant Now);

  /// Ends the ejection. The target returns with a limit of one attempt that
  /// doubles with each success.
  void restore(framework::Instant Now);

  /// Forgets the past, for a target that has started anew.
  void reset();

  bool isEjected() const { return IsEjected_; }

  /// The end of the ejection or of the pause after a not-run answer.
  framework::Instant blockedUntil() const { return BlockedUntil_; }

  /// True while the target gets no work because it shed the last attempts.
  bool isPaused(framework::Instant Now) const { return Now < BlockedUntil_; }

  /// The attempts that this instance may have in flight at the target.
  std::uint32_t limit(std::uint32_t Slots) const;

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
  /// Moving average of failure (1) and success (0).
  double FailureShare_ = 0;
  framework::Instant BlockedUntil_{};
  framework::Instant RestoredAt_{};
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_INTERNAL_TARGETHEALTH_H
