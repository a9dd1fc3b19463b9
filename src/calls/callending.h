#ifndef CRANBERRYSPOOL_CALLS_CALLENDING_H
#define CRANBERRYSPOOL_CALLS_CALLENDING_H

#include "calls/types/ending.h"
#include "calls/types/endingreason.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <optional>

namespace cranberryspool::calls {

class EndingToken;

/// The ending of a call. Only an `EndingToken` can create one.
class CallEnding {
public:
  framework::CallId call() const { return Call_; }
  Ending ending() const { return Ending_; }
  EndingReason reason() const { return Reason_; }
  /// Returns the time after which the caller may retry; zero when a retry makes
  /// no sense.
  framework::Duration retryAfter() const { return RetryAfter_; }
  /// Returns the attempt whose response is returned to the caller. Absent for a
  /// refusal and for the stored response of an earlier call.
  std::optional<framework::AttemptId> attempt() const { return Attempt_; }

private:
  friend class EndingToken;
  CallEnding() = default;

  framework::CallId Call_;
  Ending Ending_ = Ending::NotRun;
  EndingReason Reason_ = EndingReason::None;
  framework::Duration RetryAfter_{};
  std::optional<framework::AttemptId> Attempt_;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_CALLENDING_H
