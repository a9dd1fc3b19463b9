#include "decision/internal/accessguard.h"

#include <algorithm>
#include <vector>

namespace cranberryspool::decision {

namespace {

calls::EndingReason reasonOf(workspaces::AccessOutcome Outcome) {
  return Outcome == workspaces::AccessOutcome::Unconfirmed
             ? calls::EndingReason::AccessUnconfirmed
             : calls::EndingReason::Unauthenticated;
}

bool isRefused(workspaces::AccessOutcome Outcome) {
  return Outcome == workspaces::AccessOutcome::Unauthenticated ||
         Outcome == workspaces::AccessOutcome::Unconfirmed;
}

} // namespace

framework::Result<std::optional<framework::WorkspaceId>, calls::EndingReason>
AccessGuard::authenticate(const EventContext &Context, const CallArrived &Input,
                          const MatchedKind &Kind) {
  std::optional<framework::WorkspaceId> Workspace;
  // The instance that forwards a call has checked its key.
  if (Input.ForwardedBy_) {
    if (Input.ForwardedWorkspace_.value().empty())
      return Workspace;
    if (!Core_.Environment_.findWorkspace(Input.ForwardedWorkspace_))
      return framework::failure(calls::EndingReason::AccessUnconfirmed);
    Workspace = Core_.Environment_.internWorkspace(Input.ForwardedWorkspace_);
    return Workspace;
  }
  const workspaces::Access Decision = Core_.Access_.decide(
      Input.Credential_, Kind.IsAnonymousAllowed_, viewAge(Context));
  if (isRefused(Decision.Outcome_))
    return framework::failure(reasonOf(Decision.Outcome_));
  if (Decision.Outcome_ == workspaces::AccessOutcome::Granted)
    Workspace = Core_.Environment_.internWorkspace(
        Core_.Environment_.document()->Workspaces_[Decision.Workspace_].Name_);
  return Workspace;
}

void AccessGuard::updateWorkspaces(const EventContext &Context) {
  Core_.Access_.setWorkspaces(Core_.Environment_.document()->Workspaces_);
  recheckCalls(Context);
}

void AccessGuard::expireUnconfirmed(const EventContext &Context) {
  const bool AreKeysUsable =
      !Core_.Access_.isEnabled() || Core_.Access_.mayUseKeys(viewAge(Context));
  if (WereKeysUsable_ && !AreKeysUsable)
    recheckCalls(Context);
  WereKeysUsable_ = AreKeysUsable;
}

std::optional<framework::Duration>
AccessGuard::viewAge(const EventContext &Context) const {
  const framework::Duration Age = Core_.Fleet_.viewAge(Context.now());
  if (Age == framework::Duration::max())
    return std::nullopt;
  return Age;
}

std::optional<calls::EndingReason>
AccessGuard::findRefusalReason(const EventContext &Context,
                               const calls::Call &Call) const {
  const calls::CallRequest &Request = Call.Request_;
  if (Request.IsFromPeer_)
    return std::nullopt;
  const workspaces::Access Decision = Core_.Access_.decide(
      Request.Credential_, Request.IsAnonymousAllowed_, viewAge(Context));
  if (isRefused(Decision.Outcome_))
    return reasonOf(Decision.Outcome_);
  return std::nullopt;
}

void AccessGuard::recheckCalls(const EventContext &Context) {
  std::vector<framework::CallId> Accepted;
  for (const auto &[Id, Call] : Core_.Calls_.calls())
    Accepted.push_back(Id);
  for (const framework::CallId Id : Accepted) {
    calls::Call *Call = Core_.Calls_.find(Id);
    if (!Call)
      continue;
    if (const auto Reason = findRefusalReason(Context, *Call))
      withdraw(Context, *Call, *Reason);
  }
}

void AccessGuard::withdraw(const EventContext &Context, calls::Call &Call,
                           calls::EndingReason Reason) {
  Call.IsAccessWithdrawn_ = true;
  const std::vector<framework::AttemptId> Live = Call.LiveAttempts_;
  for (const framework::AttemptId Id : Live)
    if (Core_.Calls_.attempts().at(Id).State_ ==
        calls::AttemptState::WaitingForConnection)
      Attempts_.cancel(Context, Id, routing::AttemptResult::Cancelled);
  if (Call.LiveAttempts_.empty())
    Finisher_.fail(Context, Call, Reason);
}

} // namespace cranberryspool::decision
