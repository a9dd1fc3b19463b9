#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_CALLFORWARDER_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_CALLFORWARDER_H

#include "calls/reachabilitymonitor.h"
#include "calls/types/attempt.h"
#include "calls/types/call.h"
#include "decision/internal/attemptmanager.h"
#include "decision/internal/callfinisher.h"
#include "decision/internal/connectionmanager.h"
#include "decision/internal/corestate.h"
#include "decision/internal/eventcontext.h"
#include "decision/types/forwardinginstance.h"

#include <map>
#include <optional>

namespace cranberryspool::decision {

/// Forwards calls to other instances while this one reaches no target, and
/// judges the calls that others forward. A call is forwarded at most once along
/// its way, and to another instance only while no target can have run it. The
/// instance that takes it treats it like a call of its own callers, with its
/// own shares of all limits.
class CallForwarder {
public:
  CallForwarder(CoreState &Core, ConnectionManager &Manager,
                AttemptManager &Attempts, CallFinisher &Finisher)
      : Core_(Core), ConnectionManager_(Manager), Attempts_(Attempts),
        Finisher_(Finisher) {}

  /// Sends the call to another instance. Returns false if that is not needed,
  /// not allowed or not possible.
  bool tryForward(const EventContext &Context, calls::Call &Call);
  /// Handles a forwarded call that the other instance has not run: tries the
  /// next one or refuses the call.
  void handleNotRun(const EventContext &Context, const calls::Attempt &Ended);

  /// Returns true for an instance that is known to belong to the fleet.
  bool isKnown(const ForwardingInstance &From) const;
  /// Returns why a call that another instance has forwarded is not accepted.
  std::optional<calls::EndingReason>
  findFault(const ForwardingInstance &From) const;

  void recordOpened(const EventContext &Context, framework::TargetId Target);
  void recordOpenFailed(const EventContext &Context,
                        framework::TargetId Target);
  void recordHeard(const EventContext &Context) {
    Monitor_.recordHeard(Context.now());
  }
  bool isCutOff() const { return Monitor_.isCutOff(); }

  /// Opens connections that show whether targets can be reached.
  void runDue(const EventContext &Context);

private:
  bool isEnabled() const { return Core_.Settings_.ForwardPort_ != 0; }
  bool mayForward(const calls::Call &Call) const;
  bool isAvoided(framework::TargetId Peer, framework::Instant Now) const;
  std::optional<framework::TargetId> choosePeer(const EventContext &Context,
                                                const calls::Call &Call);
  void reportCutOff(const EventContext &Context, bool WasCutOff) const;
  /// Forwards the calls that wait for a target or for a connection.
  void forwardWaitingCalls(const EventContext &Context);
  void openTrials(const EventContext &Context, std::size_t Count);
  framework::Instant oldestSentAt() const;

  CoreState &Core_;
  ConnectionManager &ConnectionManager_;
  AttemptManager &Attempts_;
  CallFinisher &Finisher_;
  calls::ReachabilityMonitor Monitor_;
  bool HasJustBeenCutOff_ = false;
  /// Until when no calls are forwarded to instances that did not take one.
  std::map<framework::TargetId, framework::Instant> AvoidedUntil_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_CALLFORWARDER_H
