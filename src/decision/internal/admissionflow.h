#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_ADMISSIONFLOW_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_ADMISSIONFLOW_H

#include "admission/types/refusalreason.h"
#include "calls/types/call.h"
#include "decision/internal/callender.h"
#include "decision/internal/coreparts.h"
#include "decision/internal/step.h"

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

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_ADMISSIONFLOW_H
