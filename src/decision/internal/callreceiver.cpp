#include "decision/internal/callreceiver.h"

#include <algorithm>

namespace cranberryspool::decision {

namespace {

/// A request that matches no request kind is rejected as unknown only while the
/// view of the platform's metadata store is younger than this, because changes
/// of the document must take effect within seconds.
constexpr framework::Duration MaxViewAgeForNoSuchKind =
    std::chrono::milliseconds(1500);

} // namespace

void CallReceiver::handle(const EventContext &Context,
                          const CallArrived &Input) {
  // A random number is drawn only where routes may be split, because replayed
  // sessions depend on the number of draws.
  const bool HasRoutes = Core_.Fleet_.readsStore();
  const auto Kind =
      Core_.Environment_.match(Input.Method_, Input.Host_, Input.Path_,
                               HasRoutes ? Core_.Rng_.fraction() : 0);
  // The routes of this instance say nothing about a call of another fleet.
  if (Input.ForwardedBy_ && !Forwarder_.isKnown(*Input.ForwardedBy_)) {
    ++Core_.Counters_.CallsFromPeersRefused_;
    Finisher_.reject(Context, Input.Call_,
                     calls::EndingReason::ForwarderUnknown);
    return;
  }
  // A newer document that this instance has not read yet may define the request
  // kind.
  const bool IsViewOld =
      Core_.Fleet_.viewAge(Context.now()) > MaxViewAgeForNoSuchKind ||
      Core_.Fleet_.isViewBehind();
  if (Kind)
    acceptIfPermitted(Context, Input, *Kind);
  else if (Core_.Environment_.hasDocument() && !IsViewOld)
    Finisher_.reject(Context, Input.Call_, calls::EndingReason::NoSuchKind);
  else
    Finisher_.reject(Context, Input.Call_, calls::EndingReason::ViewTooOld);
}

void CallReceiver::acceptIfPermitted(const EventContext &Context,
                                     const CallArrived &Input,
                                     const MatchedKind &Kind) {
  const auto Workspace = Access_.authenticate(Context, Input, Kind);
  if (Workspace)
    accept(Context, Input, Kind, Workspace.value());
  else
    Finisher_.reject(Context, Input.Call_, Workspace.error());
}

void CallReceiver::accept(const EventContext &Context, const CallArrived &Input,
                          const MatchedKind &Matched,
                          std::optional<framework::WorkspaceId> Workspace) {
  const MatchedKind Kind = applyWorkspacePriority(Matched, Workspace);
  const framework::Duration TimeLimit =
      std::min(Input.Timeout_.value_or(Kind.Deadline_), Kind.LongestWait_);
  const framework::Duration Timeout =
      Core_.StopEndsAt_
          ? std::min(TimeLimit, *Core_.StopEndsAt_ - Context.now())
          : TimeLimit;
  calls::Call &Call = Core_.Calls_.accept(calls::CallRequest{
      .Call_ = Input.Call_,
      .Service_ = Kind.Service_,
      .Kind_ = Kind.Kind_,
      .Urgency_ = Input.Urgency_.value_or(Kind.Urgency_),
      .Priority_ = Kind.Priority_,
      .IsIdempotent_ = Kind.IsIdempotent_,
      .IsHedgingAllowed_ = Kind.IsHedgingAllowed_,
      .Arrival_ = Context.now(),
      .Deadline_ = Context.now() + Timeout,
      .Depth_ = Input.Depth_,
      .AttemptNumber_ = Input.Attempt_,
      .Key_ = Input.Key_,
      .MaxAttempts_ = Kind.MaxAttempts_ > 0 ? Kind.MaxAttempts_
                                            : Core_.CallSettings_.MaxAttempts_,
      .LatencyObjective_ = Kind.LatencyObjective_,
      .Fingerprint_ = Input.Fingerprint_,
      .Workspace_ = Workspace,
      .Credential_ = Input.Credential_,
      .IsAnonymousAllowed_ = Kind.IsAnonymousAllowed_,
      .IsFromPeer_ = Input.ForwardedBy_.has_value(),
      .DecidedBy_ = Core_.DocumentOrigin_});
  ++Core_.Counters_.CallsAccepted_;
  Core_.Counters_.CallsFromPeers_ += Input.ForwardedBy_ ? 1 : 0;
  const bool IsCutByStop = Timeout < TimeLimit;
  if (const auto Reason =
          findRefusalReason(Context, Input, Call, Timeout, IsCutByStop)) {
    Core_.Counters_.CallsFromPeersRefused_ += Input.ForwardedBy_ ? 1 : 0;
    Finisher_.fail(Context, Call, *Reason);
    return;
  }
  Core_.DeadlineTimers_.set(Input.Call_, Call.Request_.Deadline_);
  const quotas::QuotaVerdict Verdict = Quota_.request(Context, Call);
  if (Verdict == quotas::QuotaVerdict::OverQuota)
    Finisher_.fail(Context, Call, calls::EndingReason::OverQuota);
  else if (Verdict == quotas::QuotaVerdict::Admitted)
    admit(Context, Call);
}

void CallReceiver::admit(const EventContext &Context, calls::Call &Call) {
  const calls::CallRequest &Request = Call.Request_;
  // The retry budget of the instance that takes the call counts it.
  if (Forwarder_.tryForward(Context, Call))
    return;
  Core_.ServiceStats_.recordCall(Request.Service_, Context.now());
  // Repeating an idempotent request is harmless, so its key is ignored.
  if (Request.Key_ && !Request.IsIdempotent_)
    KeyHandler_.requestDecision(Context, Call);
  else
    Admission_.enqueue(Context, Call);
}

void CallReceiver::admitDecided(const EventContext &Context) {
  for (const framework::CallId Id : Quota_.takeDecidedCalls()) {
    calls::Call *Call = Core_.Calls_.find(Id);
    if (!Call)
      continue;
    if (Call->HoldsQuotaCredit_)
      admit(Context, *Call);
    else
      Finisher_.fail(Context, *Call, calls::EndingReason::OverQuota);
  }
}

MatchedKind CallReceiver::applyWorkspacePriority(
    MatchedKind Kind, std::optional<framework::WorkspaceId> Workspace) const {
  if (!Workspace)
    return Kind;
  const document::Workspace *Found = Core_.Environment_.findWorkspace(
      Core_.Environment_.workspaceName(*Workspace));
  if (!Found || !Found->Priority_)
    return Kind;
  Kind.Priority_ = *Found->Priority_;
  Kind.Urgency_ = Kind.Priority_ == 0 ? document::Urgency::Urgent
                                      : document::Urgency::Ordinary;
  return Kind;
}

std::optional<calls::EndingReason> CallReceiver::findRefusalReason(
    const EventContext &Context, const CallArrived &Input,
    const calls::Call &Call, framework::Duration Timeout,
    bool IsCutByStop) const {
  const bool IsLate = IsCutByStop && Context.now() >= Core_.LateStopFrom_;
  if (IsStopped_ || IsLate || !canEndBeforeStop(Call, Timeout))
    return calls::EndingReason::InstanceStopping;
  if (!View_.mayAccept(Context.now()))
    return calls::EndingReason::ViewTooOld;
  if (Input.ForwardedBy_)
    if (const auto Fault = Forwarder_.findFault(*Input.ForwardedBy_))
      return Fault;
  if (Core_.Quarantine_.timeLeft(Input.Fingerprint_, Context.now()))
    return calls::EndingReason::RequestQuarantined;
  if (Timeout <= framework::Duration::zero())
    return calls::EndingReason::DeadlinePassed;
  return std::nullopt;
}

bool CallReceiver::canEndBeforeStop(const calls::Call &Call,
                                    framework::Duration Timeout) const {
  if (!Core_.StopEndsAt_)
    return true;
  const auto Usual =
      Core_.ServiceStats_.latency(Call.Request_.Kind_).quantile();
  return Timeout >= Usual.value_or(Call.Request_.LatencyObjective_);
}

void CallReceiver::handle(const EventContext &Context,
                          const CallerGone &Input) {
  calls::Call *Call = Core_.Calls_.find(Input.Call_);
  if (!Call)
    return;
  ++Core_.Counters_.CallersGone_;
  Call->IsCallerGone_ = true;
  for (const framework::AttemptId Id : Call->LiveAttempts_) {
    const calls::Attempt &Live = Core_.Calls_.attempts().at(Id);
    // A non-idempotent attempt that was sent is completed, so that its answer
    // can be kept.
    if (!Live.IsIdempotent_ && Live.State_ == calls::AttemptState::Sent)
      return;
  }
  Finisher_.fail(Context, *Call, calls::EndingReason::CallerGone);
}

void CallReceiver::failOverdue(const EventContext &Context) {
  while (const auto Id = Core_.DeadlineTimers_.takeDue(Context.now()))
    if (calls::Call *Call = Core_.Calls_.find(*Id))
      Finisher_.fail(Context, *Call, calls::EndingReason::DeadlinePassed);
}

} // namespace cranberryspool::decision
