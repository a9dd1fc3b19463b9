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
  /// The live attempts of the call, oldest first.
  std::vector<framework::AttemptId> LiveAttempts_;
  /// Targets that attempts of the call have used.
  std::vector<framework::TargetId> UsedTargets_;
  /// Connections on which a target has refused the call. It may write such a
  /// refusal twice, and all attempts of a call may carry the same id.
  std::vector<framework::ConnectionId> RefusedOn_{};
  /// The time at which the call last left the admission queue.
  framework::Instant StartedAt_{};
  /// The result of the attempt that ended last.
  routing::AttemptResult LastResult_ = routing::AttemptResult::TimedOut;
  /// The status code of the last response.
  std::uint32_t AnswerStatus_ = 0;
  /// The number of attempts started so far.
  std::uint32_t StartedAttempts_ = 0;
  /// The number of attempts whose request may have been written, at least in
  /// part.
  std::uint32_t SentAttempts_ = 0;
  /// Retries, hedges and resends that were granted and have not been sent.
  std::uint32_t ReservedExtras_ = 0;
  /// True once a target may have run the request.
  bool MayHaveRun_ = false;
  /// True once a target has responded that it did not run the request.
  bool WasShed_ = false;
  bool WasHedged_ = false;
  bool IsCallerGone_ = false;
  /// True once the call is forwarded to another instance. Its attempts are no
  /// longer counted by the admission queue.
  bool IsForwarded_ = false;
  /// True when the owner of the call's idempotency key has permitted it to run.
  bool HoldsKey_ = false;
  /// True once the call's key was withdrawn. No further attempt may be sent.
  bool IsAccessWithdrawn_ = false;
  /// True when the call uses a credit of its workspace's quota.
  bool HoldsQuotaCredit_ = false;
  /// If the call is refused over its quota: the time until the next credit.
  framework::Duration NextCreditIn_{};
  /// An attempt with a complete response that reports a failure of the target.
  /// The caller gets this response when there is no better one.
  std::optional<framework::AttemptId> FallbackAnswer_;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_CALL_H
