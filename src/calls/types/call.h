#ifndef CRANBERRYSPOOL_CALLS_TYPES_CALL_H
#define CRANBERRYSPOOL_CALLS_TYPES_CALL_H

#include "calls/endingtoken.h"
#include "calls/types/callrequest.h"
#include "calls/types/callstate.h"
#include "routing/types/attemptresult.h"

#include <cstdint>
#include <vector>

namespace cranberryspool::calls {

/// An accepted call that has not ended.
struct Call {
  CallRequest Request_;
  EndingToken Ending_;
  CallState State_ = CallState::Queued;
  /// The live attempts, oldest first.
  std::vector<framework::AttemptId> LiveAttempts_;
  /// Targets that attempts of the call have used.
  std::vector<framework::TargetId> UsedTargets_;
  /// When it left the queue last.
  framework::Instant StartedAt_{};
  /// How its last attempt ended.
  routing::AttemptResult LastResult_ = routing::AttemptResult::TimedOut;
  /// The status of the answer that was read last.
  std::uint32_t AnswerStatus_ = 0;
  /// Attempts started so far.
  std::uint32_t StartedAttempts_ = 0;
  /// Attempts of which something may have been written.
  std::uint32_t SentAttempts_ = 0;
  /// True once a target may have run the request.
  bool MayHaveRun_ = false;
  /// True once a target has said that it did not run the request.
  bool WasShed_ = false;
  bool WasHedged_ = false;
  bool IsCallerGone_ = false;
  /// True when the home of its idempotency key let it run.
  bool HoldsKey_ = false;
  /// A whole answer that reports a failure of the target; given to the caller
  /// when no better one comes.
  std::optional<framework::AttemptId> FallbackAnswer_;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_CALL_H
