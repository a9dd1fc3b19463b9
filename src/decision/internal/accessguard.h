#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_ACCESSGUARD_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_ACCESSGUARD_H

#include "decision/internal/attemptmanager.h"
#include "decision/internal/callfinisher.h"
#include "decision/internal/corestate.h"
#include "decision/internal/eventcontext.h"
#include "decision/internal/matchedkind.h"
#include "decision/types/events/callarrived.h"
#include "framework/result.h"

#include <optional>

namespace cranberryspool::decision {

/// Checks the keys of calls when they arrive and again whenever the document in
/// force changes or its view gets too old, so that no attempt is sent with a
/// key that was withdrawn.
class AccessGuard {
public:
  AccessGuard(CoreState &Core, AttemptManager &Attempts, CallFinisher &Finisher)
      : Core_(Core), Attempts_(Attempts), Finisher_(Finisher) {}

  /// Returns the workspace of an arriving call, nothing when it needs none, or
  /// the reason for which the call is refused.
  framework::Result<std::optional<framework::WorkspaceId>, calls::EndingReason>
  authenticate(const EventContext &Context, const CallArrived &Input,
               const MatchedKind &Kind);

  /// Applies the workspaces of the document in force to all calls.
  void updateWorkspaces(const EventContext &Context);
  /// Ends the calls that were not sent once the view is too old to use keys.
  /// Must run before an event is handled that may send attempts.
  void expireUnconfirmed(const EventContext &Context);

private:
  std::optional<framework::Duration> viewAge(const EventContext &Context) const;
  /// Returns the reason for which the call may no longer be sent.
  std::optional<calls::EndingReason>
  findRefusalReason(const EventContext &Context, const calls::Call &Call) const;
  void recheckCalls(const EventContext &Context);
  /// Ends the call, or lets the attempts that were sent be its last ones.
  void withdraw(const EventContext &Context, calls::Call &Call,
                calls::EndingReason Reason);

  CoreState &Core_;
  AttemptManager &Attempts_;
  CallFinisher &Finisher_;
  /// Whether the view was recent enough at the last check.
  bool WereKeysUsable_ = true;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_ACCESSGUARD_H
