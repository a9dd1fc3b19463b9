#ifndef CRANBERRYSPOOL_CALLS_SILENCEDETECTOR_H
#define CRANBERRYSPOOL_CALLS_SILENCEDETECTOR_H

#include "calls/timerqueue.h"
#include "calls/types/attempt.h"
#include "calls/types/silencethresholds.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace cranberryspool::calls {

/// Detects silent connections, on which a target no longer responds although it
/// does on others. A connection counts as silent when its attempt still waits
/// while several attempts of the same kind, sent later to the same target on
/// other connections, have been answered. A target that is slow on all its
/// connections therefore never counts as silent.
class SilenceDetector {
public:
  SilenceDetector(SilenceThresholds Idempotent,
                  SilenceThresholds NonIdempotent);

  /// Starts to watch an attempt that has just been sent.
  void recordSent(const Attempt &Sent);
  /// Records that an attempt was answered after `Elapsed`, and checks the other
  /// attempts at the same target against it.
  void recordAnswered(const Attempt &Answered, framework::Duration Elapsed);
  /// Stops watching an attempt whose response has begun or that has ended.
  void stopWatching(const Attempt &Watched);

  /// Removes and returns an attempt whose connection counts as silent, or
  /// nothing when there is none.
  std::optional<framework::AttemptId> takeSilent(framework::Instant Now);
  std::optional<framework::Instant> nextWakeUp() const;

private:
  struct WatchedAttempt {
    Attempt Attempt_;
    std::uint32_t LaterAnswers_ = 0;
    framework::Duration SlowestAnswer_{};
  };

  const SilenceThresholds &thresholdsFor(const Attempt &Watched) const;

  SilenceThresholds Idempotent_;
  SilenceThresholds NonIdempotent_;
  std::map<framework::TargetId, std::map<framework::AttemptId, WatchedAttempt>>
      Watched_;
  TimerQueue<framework::AttemptId> Timers_;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_SILENCEDETECTOR_H
