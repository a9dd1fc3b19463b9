#include "decision/internal/attemptmanager.h"

#include <algorithm>
#include <cstdlib>

namespace cranberryspool::decision {

namespace {

/// The time that the response of another instance needs to come back.
constexpr framework::Duration ForwardMargin = std::chrono::milliseconds(10);

} // namespace

void AttemptManager::start(const EventContext &Context, calls::Call &Call,
                           framework::TargetId Target,
                           calls::AttemptKind Kind) {
  const calls::CallRequest &Request = Call.Request_;
  // A duplicate run of a non-idempotent request cannot be undone, so a
  // violation of the precondition aborts the process.
  if (!Request.IsIdempotent_ &&
      (Call.MayHaveRun_ || !Call.LiveAttempts_.empty()))
    std::abort();
  const framework::AttemptId Id = Core_.AttemptNumbers_.next();
  const calls::Attempt &Started = Core_.Calls_.addAttempt(
      Call, calls::Attempt{.Attempt_ = Id,
                           .Call_ = Request.Call_,
                           .Service_ = Request.Service_,
                           .RequestKind_ = Request.Kind_,
                           .IsIdempotent_ = Request.IsIdempotent_,
                           .Fingerprint_ = Request.Fingerprint_,
                           .Target_ = Target,
                           .Connection_ = {},
                           .Kind_ = Kind,
                           .StartedAt_ = Context.now(),
                           .DecidedBy_ = Request.DecidedBy_});
  if (Kind != calls::AttemptKind::Forward) {
    Core_.Targets_.recordSent(Target, Context.now());
    if (!Request.IsIdempotent_)
      ConnectionManager_.recordNonIdempotentRequest(Context, Target);
  }
  connect(Context, Started);
}

void AttemptManager::report(const EventContext &Context,
                            const calls::Call &Call,
                            const calls::Attempt &Reported) const {
  if (!Core_.Settings_.ReportsAttempts_)
    return;
  ReportAttempt Report;
  Report.Call_ = Reported.Call_;
  Report.Attempt_ = Reported.Attempt_;
  Report.Target_ = Core_.Environment_.targetName(Reported.Target_);
  Report.Kind_ = Reported.Kind_;
  Report.IsSent_ = Reported.State_ == calls::AttemptState::Sent;
  Report.Waited_ = Context.now() - Reported.StartedAt_;
  Report.SentAttempts_ = Call.SentAttempts_;
  Report.MaxAttempts_ = Call.Request_.MaxAttempts_;
  Report.DecidedBy_ = Reported.DecidedBy_;
  const bool IsExtra = Reported.Kind_ == calls::AttemptKind::Retry ||
                       Reported.Kind_ == calls::AttemptKind::Hedge;
  if (IsExtra)
    Report.Budget_ =
        Core_.ServiceStats_.budgetUse(Reported.Service_, Context.now());
  if (Reported.Kind_ == calls::AttemptKind::Retry)
    Report.Previous_ = Call.LastResult_;
  if (Reported.Kind_ != calls::AttemptKind::Forward)
    addTargetState(Context, Reported.Target_, Report);
  Context.Output_.push_back(std::move(Report));
}

void AttemptManager::addTargetState(const EventContext &Context,
                                    framework::TargetId Id,
                                    ReportAttempt &Report) const {
  const routing::TargetState &Target = Core_.Targets_.state(Id);
  Report.Zone_ = Core_.Environment_.zoneName(Target.Description_.Zone_);
  Report.LastReport_ = Target.Report_;
  Report.IsCold_ = Core_.Targets_.isCold(Id);
  Report.IsUnconfirmed_ = Target.Description_.IsUnconfirmed_;
  Report.RequestLimit_ = Core_.Targets_.requestLimit(Id);
  // The attempt itself is not counted.
  Report.InFlight_ = Target.InFlight_ - 1;
  if (Target.ReportedAt_)
    Report.ReportAge_ = Context.now() - *Target.ReportedAt_;
}

void AttemptManager::connect(const EventContext &Context,
                             const calls::Attempt &Attempt) {
  const framework::Instant ActiveSince =
      Attempt.IsIdempotent_
          ? framework::Instant::min()
          : Context.now() - Core_.CallSettings_.MaxActivityAge_;
  const auto Idle = findIdle(Context, Attempt, ActiveSince);
  if (Idle) {
    send(Context, *Core_.Calls_.findAttempt(Attempt.Attempt_), *Idle);
    return;
  }
  report(Context, *Core_.Calls_.find(Attempt.Call_), Attempt);
  Core_.Connections_.addWaiter(Attempt.Target_, Attempt.Attempt_);
  if (Attempt.IsIdempotent_)
    ConnectionManager_.openForWaiters(Context, Attempt.Target_);
  else
    ConnectionManager_.openNew(Context, Attempt.Target_);
}

std::optional<framework::ConnectionId>
AttemptManager::findIdle(const EventContext &Context,
                         const calls::Attempt &Attempt,
                         framework::Instant ActiveSince) {
  while (const auto Idle =
             Core_.Connections_.mostRecentIdle(Attempt.Target_, ActiveSince)) {
    if (!hasRefused(*Idle, Attempt))
      return Idle;
    ConnectionManager_.close(Context, *Idle);
  }
  return std::nullopt;
}

bool AttemptManager::hasRefused(framework::ConnectionId Id,
                                const calls::Attempt &Attempt) const {
  const calls::Call &Call = *Core_.Calls_.find(Attempt.Call_);
  return std::find(Call.RefusedOn_.begin(), Call.RefusedOn_.end(), Id) !=
         Call.RefusedOn_.end();
}

void AttemptManager::assignToWaiter(const EventContext &Context,
                                    framework::ConnectionId Id) {
  const calls::Connection *Idle = Core_.Connections_.find(Id);
  if (!Idle)
    return;
  const framework::TargetId Target = Idle->Target_;
  const auto Waiter = Core_.Connections_.takeWaiter(Target);
  if (!Waiter)
    return;
  calls::Attempt &Attempt = *Core_.Calls_.findAttempt(*Waiter);
  if (!hasRefused(Id, Attempt)) {
    send(Context, Attempt, Id);
    return;
  }
  ConnectionManager_.close(Context, Id);
  Core_.Connections_.addWaiter(Target, *Waiter);
  ConnectionManager_.openForWaiters(Context, Target);
}

void AttemptManager::send(const EventContext &Context, calls::Attempt &Attempt,
                          framework::ConnectionId Id) {
  calls::Call &Call = *Core_.Calls_.find(Attempt.Call_);
  const calls::CallRequest &Request = Call.Request_;
  Core_.Connections_.assign(Id, Attempt.Attempt_);
  Attempt.Connection_ = Id;
  Attempt.State_ = calls::AttemptState::Sent;
  Attempt.SentAt_ = Context.now();
  Core_.SilenceDetector_.recordSent(Attempt);
  Context.Output_.push_back(SendAttempt{
      .Attempt_ = Attempt.Attempt_,
      .Call_ = Attempt.Call_,
      .Connection_ = Id,
      .Target_ = Attempt.Target_,
      .Timeout_ = Request.Deadline_ - Context.now(),
      .Depth_ = Request.Depth_ + 1,
      .AttemptMark_ = Request.AttemptNumber_ + Call.SentAttempts_,
      .TargetName_ = Core_.Environment_.targetName(Attempt.Target_),
      .Workspace_ = Request.Workspace_
                        ? Core_.Environment_.workspaceName(*Request.Workspace_)
                        : framework::WorkspaceName(),
      .IsCredentialForwarded_ =
          !Core_.Access_.isEnabled() && !Request.Workspace_});
  if (Attempt.Kind_ == calls::AttemptKind::Forward)
    addressToPeer(std::get<SendAttempt>(Context.Output_.back()));
  ++Call.SentAttempts_;
  Core_.ServiceStats_.recordSent(Call, Context.now());
  ++Core_.Counters_.AttemptsSent_;
  if (Attempt.Kind_ == calls::AttemptKind::Retry)
    ++Core_.Counters_.RetriesSent_;
  if (Attempt.Kind_ == calls::AttemptKind::Hedge)
    ++Core_.Counters_.HedgesSent_;
  if (Attempt.Kind_ != calls::AttemptKind::Forward &&
      Core_.Targets_.state(Attempt.Target_).Description_.IsUnconfirmed_)
    ++Core_.Counters_.AttemptsToUnconfirmed_;
  report(Context, Call, Attempt);
  scheduleHedge(Context, Call);
}

void AttemptManager::addressToPeer(SendAttempt &Sent) const {
  Sent.TargetName_ = framework::TargetName();
  Sent.Timeout_ = std::max(Sent.Timeout_ - ForwardMargin,
                           framework::Duration(std::chrono::milliseconds(1)));
  Sent.ForwardedBy_ = ForwardingInstance{
      Core_.Settings_.Self_, Core_.Settings_.Incarnation_, {}};
}

void AttemptManager::scheduleHedge(const EventContext &Context,
                                   const calls::Call &Call) {
  const calls::CallRequest &Request = Call.Request_;
  if (!Request.IsHedgingAllowed_ || !Request.IsIdempotent_)
    return;
  if (Call.WasHedged_ || Call.IsForwarded_ || Request.AttemptNumber_ > 1 ||
      Call.SentAttempts_ > 1)
    return;
  if (Request.LatencyObjective_ > framework::Duration::zero()) {
    Core_.HedgeTimers_.set(Request.Call_,
                           Context.now() +
                               std::chrono::duration_cast<framework::Duration>(
                                   Request.LatencyObjective_ *
                                   Core_.CallSettings_.SlowTargetHedgeShare_));
    return;
  }
  const auto Quantile = Core_.ServiceStats_.latency(Request.Kind_).quantile();
  if (!Quantile)
    return;
  Core_.HedgeTimers_.set(
      Request.Call_,
      Context.now() + std::max(*Quantile, Core_.CallSettings_.MinHedgeDelay_));
}

void AttemptManager::cancel(const EventContext &Context,
                            framework::AttemptId Id,
                            routing::AttemptResult Result) {
  const calls::Attempt Ended = *Core_.Calls_.findAttempt(Id);
  if (Ended.State_ == calls::AttemptState::WaitingForConnection) {
    Core_.Connections_.removeWaiter(Ended.Target_, Id);
  } else {
    ConnectionManager_.close(Context, Ended.Connection_);
    if (calls::Call *Call = Core_.Calls_.find(Ended.Call_))
      Call->MayHaveRun_ = true;
  }
  ++Core_.Counters_.AttemptsCancelled_;
  finish(Context, Ended, Result);
}

void AttemptManager::finish(const EventContext &Context,
                            const calls::Attempt &Ended,
                            routing::AttemptResult Result,
                            std::optional<calls::AttemptFailure> Failure) {
  const calls::Attempt Copy = Ended;
  if (Core_.Settings_.ReportsAttempts_)
    Context.Output_.push_back(ReportAttemptEnd{
        Copy.Call_, Copy.Attempt_, Core_.Environment_.targetName(Copy.Target_),
        Result, Context.now() - Copy.StartedAt_, Copy.Fingerprint_, Failure,
        Copy.DecidedBy_});
  Core_.SilenceDetector_.stopWatching(Copy);
  Core_.AbandonTimers_.clear(Copy.Attempt_);
  if (calls::Call *Call = Core_.Calls_.find(Copy.Call_))
    Call->LastResult_ = Result;
  Core_.Calls_.removeAttempt(Copy.Attempt_);
  if (Copy.Kind_ != calls::AttemptKind::Forward)
    Core_.Targets_.recordEnded(Copy.Target_, Result,
                               Context.now() - Copy.StartedAt_, Context.now());
}

void AttemptManager::abandon(const EventContext &Context,
                             calls::Attempt &Attempt) {
  Attempt.State_ = calls::AttemptState::Abandoned;
  Core_.AbandonTimers_.set(
      Attempt.Attempt_, Context.now() + Core_.CallSettings_.MaxAbandonedTime_);
  ++Core_.Counters_.AttemptsAbandoned_;
}

void AttemptManager::expireAbandoned(const EventContext &Context) {
  while (const auto Id = Core_.AbandonTimers_.takeDue(Context.now()))
    cancel(Context, *Id, routing::AttemptResult::TimedOut);
}

} // namespace cranberryspool::decision
