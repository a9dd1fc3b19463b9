#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_STOPSEQUENCE_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_STOPSEQUENCE_H

#include "decision/internal/callreceiver.h"
#include "decision/internal/corestate.h"
#include "decision/internal/eventcontext.h"

namespace cranberryspool::decision {

/// Stops the instance gracefully: first it reports that it is not ready, then
/// it rejects new calls, and the process may exit when all accepted calls have
/// ended.
class StopSequence {
public:
  StopSequence(CoreState &Core, CallReceiver &Receiver)
      : Core_(Core), Receiver_(Receiver) {}

  void request(const EventContext &Context);
  bool isRequested() const { return Core_.StopRequestedAt_.has_value(); }
  bool isFinished() const { return IsFinished_; }
  /// Performs the steps that are due.
  void advance(const EventContext &Context);

private:
  /// Brings the deadlines of all calls forward to the end of the stop, so that
  /// each caller gets an answer before the process is killed.
  void limitCalls(framework::Instant End);
  /// Returns true when nothing holds the stop any more: no call is in progress,
  /// and no attempt, unless its time is over.
  bool areCallsEnded(framework::Instant Now) const;

  CoreState &Core_;
  CallReceiver &Receiver_;
  bool IsFinished_ = false;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_STOPSEQUENCE_H
