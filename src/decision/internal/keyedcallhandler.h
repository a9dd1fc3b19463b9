#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_KEYEDCALLHANDLER_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_KEYEDCALLHANDLER_H

#include "calls/types/call.h"
#include "decision/internal/admissioncontroller.h"
#include "decision/internal/callfinisher.h"
#include "decision/internal/corestate.h"
#include "decision/internal/eventcontext.h"
#include "decision/types/events/keptanswerfetched.h"
#include "fleet/types/outputs/keydecided.h"

namespace cranberryspool::decision {

/// Handles calls with an idempotency key: asks the owner of the key for a
/// decision, then queues the call or replays the answer of an earlier call.
class KeyedCallHandler {
public:
  KeyedCallHandler(CoreState &Core, CallFinisher &Finisher,
                   AdmissionController &Admission)
      : Core_(Core), Finisher_(Finisher), Admission_(Admission) {}

  /// Asks the owner of the call's key whether the call may run.
  void requestDecision(const EventContext &Context, calls::Call &Call);
  /// Handles the decision of the key's owner about a call.
  void handle(const EventContext &Context, const fleet::KeyDecided &Input);
  void handle(const EventContext &Context, const KeptAnswerFetched &Input);

private:
  CoreState &Core_;
  CallFinisher &Finisher_;
  AdmissionController &Admission_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_KEYEDCALLHANDLER_H
