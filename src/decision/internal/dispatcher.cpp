#include "decision/internal/dispatcher.h"

namespace cranberryspool::decision {

void Dispatcher::startQueued(const Step &At) {
  for (const framework::ServiceId Service : Parts_.Queue_.startableServices()) {
    while (const auto Next = Parts_.Queue_.next(Service, At.now())) {
      if (!startNext(At, *Parts_.Calls_.find(*Next)))
        break;
    }
  }
}

bool Dispatcher::startNext(const Step &At, calls::Call &Owner) {
  const auto Target = choose(At, Owner);
  if (!Target)
    return false;
  Parts_.Queue_.recordStarted(Owner.Request_.Call_, At.now());
  Owner.StartedAt_ = At.now();
  const auto Kind = Owner.StartedAttempts_ == 0 ? calls::AttemptKind::First
                                                : calls::AttemptKind::Retry;
  Attempts_.start(At, Owner, *Target, Kind);
  return true;
}

std::optional<framework::TargetId>
Dispatcher::choose(const Step &At, const calls::Call &Owner) {
  routing::SelectionRequest Request{.Service_ = Owner.Request_.Service_,
                                    .Urgency_ = Owner.Request_.Urgency_,
                                    .Excluded_ = Owner.UsedTargets_,
                                    .IdleConnections_ =
                                        Parts_.Connections_.idleCounts()};
  const auto Fresh = Parts_.Targets_.choose(Request, At.now());
  if (Fresh || Request.Excluded_.empty())
    return Fresh;
  // A target that was tried before is better than none.
  Request.Excluded_.clear();
  return Parts_.Targets_.choose(Request, At.now());
}

bool Dispatcher::isHedgeDue(const Step &At, const calls::Call &Owner,
                            const calls::Attempt &First) const {
  const framework::Duration Objective = Owner.Request_.LatencyObjective_;
  if (Objective <= framework::Duration::zero())
    return true;
  if (At.now() - First.SentAt_ >= Objective * Parts_.Calling_.HedgeAlways_)
    return true;
  return Parts_.Targets_.slowdown(First.Target_, At.now()) >=
         Parts_.Calling_.SlowTarget_;
}

void Dispatcher::startHedges(const Step &At, bool MayStart) {
  while (const auto Id = Parts_.Hedges_.takeDue(At.now())) {
    calls::Call *Owner = Parts_.Calls_.find(*Id);
    if (!MayStart || !Owner || Owner->LiveAttempts_.size() != 1)
      continue;
    if (Owner->SentAttempts_ >= Owner->Request_.MaxAttempts_)
      continue;
    const calls::Attempt &First =
        Parts_.Calls_.attempts().at(Owner->LiveAttempts_[0]);
    if (First.HasAnswerBegun_ ||
        Parts_.Queue_.hasQueuedCalls(Owner->Request_.Service_))
      continue;
    if (!isHedgeDue(At, *Owner, First)) {
      Parts_.Hedges_.set(*Id, At.now() + Parts_.Calling_.HedgeRecheck_);
      continue;
    }
    const auto Target = Parts_.Targets_.choose(
        routing::SelectionRequest{.Service_ = Owner->Request_.Service_,
                                  .Urgency_ = Owner->Request_.Urgency_,
                                  .Excluded_ = Owner->UsedTargets_,
                                  .IdleConnections_ =
                                      Parts_.Connections_.idleCounts()},
        At.now());
    if (!Target)
      continue;
    if (!Parts_.Learning_.tryExtra(Owner->Request_.Service_, At.now())) {
      ++Parts_.Counters_.RetriesOverBudget_;
      continue;
    }
    Owner->WasHedged_ = true;
    Attempts_.start(At, *Owner, *Target, calls::AttemptKind::Hedge);
  }
}

} // namespace cranberryspool::decision
