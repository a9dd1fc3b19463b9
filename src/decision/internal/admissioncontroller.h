#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_ADMISSIONCONTROLLER_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_ADMISSIONCONTROLLER_H

#include "admission/types/refusalreason.h"
#include "calls/types/call.h"
#include "decision/internal/callfinisher.h"
#include "decision/internal/corestate.h"
#include "decision/internal/eventcontext.h"

namespace cranberryspool::decision {

/// Puts calls into the admission queue and ends those that it refuses.
class AdmissionFlow {
public:
  AdmissionFlow(CoreParts &Parts, CallEnder &Ender)
      : Parts_(Parts), Ender_(Ender) {}

  /// Queues a call that has no live attempt, or ends it.
  void enqueue(const Step &At, calls::Call &Owner);
  /// Queues a call whose attempts have ended and which is to be tried again.
  void enqueueAgain(const Step &At, calls::Call &Owner);
  /// Ends the calls that wait in vain.
  void dropExpired(const Step &At);

private:
  CoreParts &Parts_;
  CallEnder &Ender_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_ADMISSIONCONTROLLER_H
