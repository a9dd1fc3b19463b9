#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_CALLRECEIVER_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_CALLRECEIVER_H

#include "calls/types/callrequest.h"
#include "decision/internal/admissioncontroller.h"
#include "decision/internal/callfinisher.h"
#include "decision/internal/corestate.h"
#include "decision/internal/eventcontext.h"
#include "decision/internal/keyedcallhandler.h"
#include "decision/internal/matchedkind.h"
#include "decision/internal/viewguard.h"
#include "decision/types/events/callarrived.h"
#include "decision/types/events/callergone.h"

namespace cranberryspool::decision {

/// Takes calls in, from their arrival to the admission queue, and ends them
/// when their time is over or their caller has gone.
class Intake {
public:
  Intake(CoreParts &Parts, CallEnder &Ender, AdmissionFlow &Waiting,
         KeyedCalls &Keyed, ViewGuard &View)
      : Parts_(Parts), Ender_(Ender), Waiting_(Waiting), Keyed_(Keyed),
        View_(View) {}

  void handle(const Step &At, const CallArrived &Input);
  void handle(const Step &At, const CallerGone &Input);

  /// Ends the calls whose deadline has passed.
  void dropOverdue(const Step &At);
  /// From now on calls are refused.
  void close() { IsClosed_ = true; }

private:
  void accept(const Step &At, const CallArrived &Input,
              const MatchedKind &Kind);

  CoreParts &Parts_;
  CallEnder &Ender_;
  AdmissionFlow &Waiting_;
  KeyedCalls &Keyed_;
  ViewGuard &View_;
  bool IsClosed_ = false;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_CALLRECEIVER_H
