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

/// Finds connections that went silent by comparison: an attempt that waits
/// while attempts of the same kind, sent later to the same target on other
/// connections, have been answered several times over. A target that is slow
/// on all its connections is never called silent.
class SilenceDetector {
public:
  SilenceDetector(SilenceThresholds Idempotent,
                  SilenceThresholds NonIdempotent);

  /// Starts to watch an attempt that has just been sent.
  void recordSent(const Attempt &Sent);
  /// Notes that an attempt was answered after `Elapsed`, and weighs this
  /// against the other attempts at the target.
  void recordAnswered(const Attempt &Answered, framework::Duration Elapsed);
  /// Stops watching: the answer began, or the attempt has ended.
  void stopWatching(const Attempt &Gone);

  /// Takes an attempt whose connection counts as silent.
  std::optional<framework::AttemptId> takeSilent(framework::Instant Now);
  std::optional<framework::Instant> nextWakeUp() const;

private:
  struct Evidence {
    Attempt Watched_;
    std::uint32_t LaterAnswers_ = 0;
    framework::Duration Slowest_{};
  };

  const SilenceThresholds &boundsFor(const Attempt &Watched) const;

  SilenceThresholds Idempotent_;
  SilenceThresholds NonIdempotent_;
  std::map<framework::TargetId, std::map<framework::AttemptId, Evidence>>
      Watched_;
  TimerQueue<framework::AttemptId> Due_;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_SILENCEDETECTOR_H
