#include "decision/internal/dispatcher.h"

namespace cranberryspool::decision {

void Dispatcher::startQueued(const EventContext &Context) {
  for (const framework::ServiceId Service : Core_.Queue_.startableServices()) {
    while (const auto Next = Core_.Queue_.next(Service, Context.now())) {
      if (!tryStart(Context, *Core_.Calls_.find(*Next)))
        break;
    }
  }
}

bool Dispatcher::tryStart(const EventContext &Context, calls::Call &Call) {
  const auto Target = chooseTarget(Context, Call);
  if (!Target)
    return false;
  Core_.Queue_.recordStarted(Call.Request_.Call_, Context.now());
  Call.StartedAt_ = Context.now();
  const auto Kind = Call.StartedAttempts_ == 0 ? calls::AttemptKind::First
                                               : calls::AttemptKind::Retry;
  Attempts_.start(Context, Call, *Target, Kind);
  return true;
}

std::optional<framework::TargetId>
Dispatcher::chooseTarget(const EventContext &Context, const calls::Call &Call) {
  return Core_.Targets_.choose(
      routing::SelectionRequest{.Service_ = Call.Request_.Service_,
                                .Urgency_ = Call.Request_.Urgency_,
                                .Excluded_ = Call.UsedTargets_,
                                .MayRepeat_ = true,
                                .IdleConnections_ =
                                    Core_.Connections_.idleCounts()},
      Context.now());
}

bool Dispatcher::isHedgeDue(const EventContext &Context,
                            const calls::Call &Call,
                            const calls::Attempt &First) const {
  if (First.State_ != calls::AttemptState::Sent)
    return false;
  const framework::Duration Objective = Call.Request_.LatencyObjective_;
  if (Objective <= framework::Duration::zero())
    return true;
  if (Context.now() - First.SentAt_ >=
      Objective * Core_.CallSettings_.HedgeShare_)
    return true;
  return Core_.Targets_.slowdown(First.Target_, Context.now()) >=
         Core_.CallSettings_.SlowTargetFactor_;
}

void Dispatcher::startHedges(const EventContext &Context, bool MayStart) {
  while (const auto Id = Core_.HedgeTimers_.takeDue(Context.now())) {
    calls::Call *Call = Core_.Calls_.find(*Id);
    if (!MayStart || !Call || Call->LiveAttempts_.size() != 1)
      continue;
    if (!Core_.Calls_.mayStartAttempt(*Call))
      continue;
    const calls::Attempt &First =
        Core_.Calls_.attempts().at(Call->LiveAttempts_[0]);
    if (First.HasAnswerBegun_ ||
        Core_.Queue_.hasQueuedCalls(Call->Request_.Service_))
      continue;
    if (!isHedgeDue(Context, *Call, First)) {
      Core_.HedgeTimers_.set(
          *Id, Context.now() + Core_.CallSettings_.HedgeRecheckInterval_);
      continue;
    }
    const auto Target = Core_.Targets_.choose(
        routing::SelectionRequest{.Service_ = Call->Request_.Service_,
                                  .Urgency_ = Call->Request_.Urgency_,
                                  .Excluded_ = Call->UsedTargets_,
                                  .IsOptional_ = true,
                                  .IdleConnections_ =
                                      Core_.Connections_.idleCounts()},
        Context.now());
    if (!Target)
      continue;
    if (!Core_.ServiceStats_.tryGrantExtra(*Call, Context.now())) {
      ++Core_.Counters_.RetriesOverBudget_;
      continue;
    }
    Call->WasHedged_ = true;
    Attempts_.start(Context, *Call, *Target, calls::AttemptKind::Hedge);
  }
}

} // namespace cranberryspool::decision
