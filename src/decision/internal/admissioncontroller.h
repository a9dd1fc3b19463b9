#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_ADMISSIONCONTROLLER_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_ADMISSIONCONTROLLER_H

#include "admission/types/refusalreason.h"
#include "calls/types/call.h"
#include "decision/internal/callfinisher.h"
#include "decision/internal/corestate.h"
#include "decision/internal/eventcontext.h"

namespace cranberryspool::decision {

/// Puts calls into the admission queue and ends the calls that the queue
/// rejects.
class AdmissionController {
public:
  AdmissionController(CoreState &Core, CallFinisher &Finisher)
      : Core_(Core), Finisher_(Finisher) {}

  /// Queues a call that has no live attempt, or ends the call when the queue
  /// rejects it.
  void enqueue(const EventContext &Context, calls::Call &Call);
  /// Queues a call again for a retry after all its attempts have ended.
  void requeue(const EventContext &Context, calls::Call &Call);
  /// Ends the calls that the queue has dropped because they waited too long.
  void failExpired(const EventContext &Context);

private:
  /// Returns the latest start with which the call is expected to meet its
  /// latency objective.
  framework::Instant latestTimelyStart(const calls::CallRequest &Request) const;

  CoreState &Core_;
  CallFinisher &Finisher_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_ADMISSIONCONTROLLER_H
