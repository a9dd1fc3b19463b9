#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_CALLRECEIVER_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_CALLRECEIVER_H

#include "calls/types/callrequest.h"
#include "decision/internal/accessguard.h"
#include "decision/internal/admissioncontroller.h"
#include "decision/internal/callfinisher.h"
#include "decision/internal/callforwarder.h"
#include "decision/internal/corestate.h"
#include "decision/internal/eventcontext.h"
#include "decision/internal/keyedcallhandler.h"
#include "decision/internal/matchedkind.h"
#include "decision/internal/quotaguard.h"
#include "decision/internal/viewguard.h"
#include "decision/types/events/callarrived.h"
#include "decision/types/events/callergone.h"

namespace cranberryspool::decision {

/// Accepts calls, passes them to the admission queue, and ends them when their
/// deadline passes or their caller disconnects.
class CallReceiver {
public:
  CallReceiver(CoreState &Core, CallFinisher &Finisher,
               AdmissionController &Admission, KeyedCallHandler &KeyHandler,
               ViewGuard &View, CallForwarder &Forwarder, AccessGuard &Access,
               QuotaGuard &Quota)
      : Core_(Core), Finisher_(Finisher), Admission_(Admission),
        KeyHandler_(KeyHandler), View_(View), Forwarder_(Forwarder),
        Access_(Access), Quota_(Quota) {}

  void handle(const EventContext &Context, const CallArrived &Input);
  void handle(const EventContext &Context, const CallerGone &Input);

  /// Admits or refuses the calls whose wait for a quota credit has ended.
  void admitDecided(const EventContext &Context);
  /// Ends the calls whose deadline has passed.
  void failOverdue(const EventContext &Context);
  /// Rejects all calls that arrive from now on.
  void stopAccepting() { IsStopped_ = true; }

private:
  void acceptIfPermitted(const EventContext &Context, const CallArrived &Input,
                         const MatchedKind &Kind);
  void accept(const EventContext &Context, const CallArrived &Input,
              const MatchedKind &Matched,
              std::optional<framework::WorkspaceId> Workspace);
  /// Forwards or queues a call that is within its quota.
  void admit(const EventContext &Context, calls::Call &Call);
  /// Replaces the priority of the route by that of the workspace, if it has
  /// one.
  MatchedKind
  applyWorkspacePriority(MatchedKind Kind,
                         std::optional<framework::WorkspaceId> Workspace) const;
  /// Returns why a call is refused before it is queued.
  std::optional<calls::EndingReason>
  findRefusalReason(const EventContext &Context, const CallArrived &Input,
                    const calls::Call &Call, framework::Duration Timeout,
                    bool IsCutByStop) const;
  /// Returns false while the instance stops and a call of this kind usually
  /// takes longer than `Timeout`, the time that is left.
  bool canEndBeforeStop(const calls::Call &Call,
                        framework::Duration Timeout) const;

  CoreState &Core_;
  CallFinisher &Finisher_;
  AdmissionController &Admission_;
  KeyedCallHandler &KeyHandler_;
  ViewGuard &View_;
  CallForwarder &Forwarder_;
  AccessGuard &Access_;
  QuotaGuard &Quota_;
  bool IsStopped_ = false;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_CALLRECEIVER_H
