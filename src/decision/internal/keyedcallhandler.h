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

/// Takes calls with an idempotency key from the question to the key's home to
/// the admission queue or to the answer of an earlier call.
class KeyedCalls {
public:
  KeyedCalls(CoreParts &Parts, CallEnder &Ender, AdmissionFlow &Waiting)
      : Parts_(Parts), Ender_(Ender), Waiting_(Waiting) {}

  /// Asks whether the call may run.
  void ask(const Step &At, calls::Call &Owner);
  /// The home of a key has decided about a call.
  void handle(const Step &At, const fleet::KeyDecided &Input);
  void handle(const Step &At, const KeptAnswerFetched &Input);

private:
  CoreParts &Parts_;
  CallEnder &Ender_;
  AdmissionFlow &Waiting_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_KEYEDCALLHANDLER_H
