#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_CALLENDER_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_CALLENDER_H

#include "calls/types/call.h"
#include "calls/types/ending.h"
#include "calls/types/endingreason.h"
#include "decision/internal/attemptflow.h"
#include "decision/internal/coreparts.h"
#include "decision/internal/step.h"

namespace cranberryspool::decision {

/// Ends calls: tells the caller once and takes everything else of the call
/// away. A call must not be touched after it was ended.
class CallEnder {
public:
  CallEnder(CoreParts &Parts, AttemptFlow &Attempts)
      : Parts_(Parts), Attempts_(Attempts) {}

  /// Gives the caller the whole answer of an attempt.
  void answer(const Step &At, calls::Call &Owner, framework::AttemptId Attempt);
  /// Gives the caller the kept answer of an earlier call of the same key.
  void replay(const Step &At, calls::Call &Owner);
  /// Ends the call without an answer; what is told follows from what its
  /// attempts may have done.
  void giveUp(const Step &At, calls::Call &Owner, calls::EndingReason Why);
  /// Ends the call without an answer in a given way.
  void refuse(const Step &At, calls::Call &Owner, calls::Ending How,
              calls::EndingReason Why);
  /// Refuses a request of no known kind: it did not run.
  void turnAway(const Step &At, framework::CallId Call,
                calls::EndingReason Why);

private:
  calls::Ending endingOf(const calls::Call &Owner,
                         calls::EndingReason Why) const;
  /// Tells those who count calls, and the home of its key, of the ending.
  void note(const Step &At, const calls::Call &Owner, calls::Ending How,
            calls::EndingReason Why = calls::EndingReason::None);
  framework::Duration retryAfter(calls::EndingReason Why);
  calls::EndingToken release(const Step &At, calls::Call &Owner);
  void tell(const Step &At, const calls::CallEnding &Told);

  CoreParts &Parts_;
  AttemptFlow &Attempts_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_CALLENDER_H
