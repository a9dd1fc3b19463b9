#include "decision/internal/attemptflow.h"

#include <algorithm>
#include <cstdlib>

namespace cranberryspool::decision {

void AttemptFlow::start(const Step &At, calls::Call &Owner,
                        framework::TargetId Target, calls::AttemptKind Kind) {
  const calls::CallRequest &Request = Owner.Request_;
  // A second run could not be taken back: stop rather than risk it.
  if (!Request.IsIdempotent_ &&
      (Owner.MayHaveRun_ || !Owner.LiveAttempts_.empty()))
    std::abort();
  const framework::AttemptId Id = Parts_.AttemptNumbers_.next();
  const calls::Attempt &Started = Parts_.Calls_.addAttempt(
      Owner, calls::Attempt{.Attempt_ = Id,
                            .Call_ = Request.Call_,
                            .Service_ = Request.Service_,
                            .RequestKind_ = Request.Kind_,
                            .IsIdempotent_ = Request.IsIdempotent_,
                            .Target_ = Target,
                            .Connection_ = {},
                            .Kind_ = Kind,
                            .StartedAt_ = At.now()});
  report(At, Started);
  Parts_.Targets_.recordSent(Target, At.now());
  if (!Request.IsIdempotent_)
    Keeper_.noteFreshNeeded(At, Target);
  connect(At, Started);
}

void AttemptFlow::report(const Step &At, const calls::Attempt &Started) const {
  if (!Parts_.Settings_.ReportsAttempts_)
    return;
  const routing::TargetState &Known = Parts_.Targets_.state(Started.Target_);
  ReportAttempt Report;
  Report.Call_ = Started.Call_;
  Report.Attempt_ = Started.Attempt_;
  Report.Target_ = Parts_.Environment_.targetName(Started.Target_);
  Report.Zone_ = Parts_.Environment_.zoneName(Known.Description_.Zone_);
  Report.Kind_ = Started.Kind_;
  Report.Known_ = Known.Report_;
  Report.IsCold_ = Parts_.Targets_.isCold(Started.Target_);
  Report.InFlight_ = Known.InFlight_;
  if (Known.ReportedAt_)
    Report.ReportAge_ = At.now() - *Known.ReportedAt_;
  At.Output_.push_back(std::move(Report));
}

void AttemptFlow::connect(const Step &At, const calls::Attempt &Waiting) {
  const framework::Instant AliveSince =
      Waiting.IsIdempotent_ ? framework::Instant::min()
                            : At.now() - Parts_.Calling_.AliveWithin_;
  const auto Idle =
      Parts_.Connections_.mostRecentIdle(Waiting.Target_, AliveSince);
  if (Idle) {
    send(At, *Parts_.Calls_.findAttempt(Waiting.Attempt_), *Idle);
    return;
  }
  Parts_.Connections_.addWaiter(Waiting.Target_, Waiting.Attempt_);
  if (Waiting.IsIdempotent_)
    Keeper_.openForWaiters(At, Waiting.Target_);
  else
    Keeper_.openFresh(At, Waiting.Target_);
}

void AttemptFlow::serveWaiter(const Step &At, framework::ConnectionId Id) {
  const calls::Connection *Free = Parts_.Connections_.find(Id);
  if (!Free)
    return;
  const auto Waiter = Parts_.Connections_.takeWaiter(Free->Target_);
  if (Waiter)
    send(At, *Parts_.Calls_.findAttempt(*Waiter), Id);
}

void AttemptFlow::send(const Step &At, calls::Attempt &Ready,
                       framework::ConnectionId Id) {
  calls::Call &Owner = *Parts_.Calls_.find(Ready.Call_);
  const calls::CallRequest &Request = Owner.Request_;
  Parts_.Connections_.assign(Id, Ready.Attempt_);
  Ready.Connection_ = Id;
  Ready.State_ = calls::AttemptState::Sent;
  Ready.SentAt_ = At.now();
  Parts_.Silence_.recordSent(Ready);
  At.Output_.push_back(SendAttempt{
      .Attempt_ = Ready.Attempt_,
      .Call_ = Ready.Call_,
      .Connection_ = Id,
      .Target_ = Ready.Target_,
      .Timeout_ = Request.Deadline_ - At.now(),
      .Depth_ = Request.Depth_ + 1,
      .AttemptMark_ = Request.AttemptNumber_ + Owner.SentAttempts_,
      .TargetName_ = Parts_.Environment_.targetName(Ready.Target_)});
  ++Owner.SentAttempts_;
  ++Parts_.Counters_.AttemptsSent_;
  if (Ready.Kind_ == calls::AttemptKind::Retry)
    ++Parts_.Counters_.RetriesSent_;
  if (Ready.Kind_ == calls::AttemptKind::Hedge)
    ++Parts_.Counters_.HedgesSent_;
  armHedge(At, Owner);
}

void AttemptFlow::armHedge(const Step &At, const calls::Call &Owner) {
  const calls::CallRequest &Request = Owner.Request_;
  if (!Request.IsHedgingAllowed_ || !Request.IsIdempotent_)
    return;
  if (Owner.WasHedged_ || Request.AttemptNumber_ > 1 || Owner.SentAttempts_ > 1)
    return;
  if (Request.LatencyObjective_ > framework::Duration::zero()) {
    Parts_.Hedges_.set(
        Request.Call_,
        At.now() +
            std::chrono::duration_cast<framework::Duration>(
                Request.LatencyObjective_ * Parts_.Calling_.HedgeWhenSlow_));
    return;
  }
  const auto Usual = Parts_.Learning_.latency(Request.Kind_).quantile();
  if (!Usual)
    return;
  Parts_.Hedges_.set(Request.Call_,
                     At.now() +
                         std::max(*Usual, Parts_.Calling_.MinHedgeDelay_));
}

void AttemptFlow::cancel(const Step &At, framework::AttemptId Id,
                         routing::AttemptResult Result) {
  const calls::Attempt Ended = *Parts_.Calls_.findAttempt(Id);
  if (Ended.State_ == calls::AttemptState::WaitingForConnection) {
    Parts_.Connections_.removeWaiter(Ended.Target_, Id);
  } else {
    Keeper_.close(At, Ended.Connection_);
    if (calls::Call *Owner = Parts_.Calls_.find(Ended.Call_))
      Owner->MayHaveRun_ = true;
  }
  ++Parts_.Counters_.AttemptsCancelled_;
  finish(At, Ended, Result);
}

void AttemptFlow::finish(const Step &At, const calls::Attempt &Ended,
                         routing::AttemptResult Result) {
  const calls::Attempt Copy = Ended;
  if (Parts_.Settings_.ReportsAttempts_)
    At.Output_.push_back(ReportAttemptEnd{
        Copy.Call_, Copy.Attempt_, Parts_.Environment_.targetName(Copy.Target_),
        Result, At.now() - Copy.StartedAt_});
  Parts_.Silence_.stopWatching(Copy);
  Parts_.Abandoned_.clear(Copy.Attempt_);
  if (calls::Call *Owner = Parts_.Calls_.find(Copy.Call_))
    Owner->LastResult_ = Result;
  Parts_.Calls_.removeAttempt(Copy.Attempt_);
  Parts_.Targets_.recordEnded(Copy.Target_, Result, At.now() - Copy.StartedAt_,
                              At.now());
}

void AttemptFlow::abandon(const Step &At, calls::Attempt &Left) {
  Left.State_ = calls::AttemptState::Abandoned;
  Parts_.Abandoned_.set(Left.Attempt_,
                        At.now() + Parts_.Calling_.MaxAbandoned_);
  ++Parts_.Counters_.AttemptsAbandoned_;
}

void AttemptFlow::dropAbandoned(const Step &At) {
  while (const auto Id = Parts_.Abandoned_.takeDue(At.now()))
    cancel(At, *Id, routing::AttemptResult::TimedOut);
}

} // namespace cranberryspool::decision
