#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_CALLFINISHER_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_CALLFINISHER_H

#include "calls/types/call.h"
#include "calls/types/ending.h"
#include "calls/types/endingreason.h"
#include "decision/internal/attemptmanager.h"
#include "decision/internal/corestate.h"
#include "decision/internal/eventcontext.h"

namespace cranberryspool::decision {

/// Ends calls: sends the caller exactly one result and releases all resources
/// of the call. References to a call are invalid after it has ended.
class CallFinisher {
public:
  CallFinisher(CoreState &Core, AttemptManager &Attempts)
      : Core_(Core), Attempts_(Attempts) {}

  /// Sends the caller the complete answer of an attempt.
  void answer(const EventContext &Context, calls::Call &Call,
              framework::AttemptId Attempt);
  /// Sends the caller the kept answer of an earlier call with the same
  /// idempotency key.
  void replay(const EventContext &Context, calls::Call &Call);
  /// Ends the call without an answer. The ending that the caller is told
  /// depends on whether an attempt may have run.
  void fail(const EventContext &Context, calls::Call &Call,
            calls::EndingReason Reason);
  /// Ends the call without an answer and with the given ending.
  void refuse(const EventContext &Context, calls::Call &Call,
              calls::Ending Ending, calls::EndingReason Reason);
  /// Rejects a request that matches no request kind. The request has not run.
  void reject(const EventContext &Context, framework::CallId Call,
              calls::EndingReason Reason);

private:
  calls::Ending determineEnding(const calls::Call &Call,
                                calls::EndingReason Reason) const;
  /// Records the ended call for statistics and reports its ending to the owner
  /// of its idempotency key.
  void recordEnd(const EventContext &Context, const calls::Call &Call,
                 calls::Ending Ending,
                 calls::EndingReason Reason = calls::EndingReason::None);
  framework::Duration retryAfter(calls::EndingReason Reason);
  /// Returns the retry delay of a call that was accepted, which is limited by
  /// its deadline unless the request is quarantined.
  framework::Duration retryAfter(const EventContext &Context,
                                 const calls::Call &Call,
                                 calls::EndingReason Reason);
  calls::EndingToken releaseResources(const EventContext &Context,
                                      calls::Call &Call);
  void emitResult(const EventContext &Context, const calls::CallEnding &Result);

  CoreState &Core_;
  AttemptManager &Attempts_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_CALLFINISHER_H
