#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_KEYEDCALLS_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_KEYEDCALLS_H

#include "calls/types/call.h"
#include "decision/internal/admissionflow.h"
#include "decision/internal/callender.h"
#include "decision/internal/coreparts.h"
#include "decision/internal/step.h"
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

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_KEYEDCALLS_H
