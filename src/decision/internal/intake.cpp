#include "decision/internal/intake.h"

#include <algorithm>

namespace cranberryspool::decision {

namespace {

/// A request of no known kind is denied only while the view of the platform's
/// store is younger: changes of the document must be in force within seconds.
constexpr framework::Duration MaxAgeToDeny = std::chrono::milliseconds(1500);

} // namespace

void Intake::handle(const Step &At, const CallArrived &Input) {
  // Drawn only where routes may be split: replays of sessions count draws.
  const bool HasRoutes = Parts_.Fleet_.readsStore();
  const auto Kind =
      Parts_.Environment_.match(Input.Method_, Input.Host_, Input.Path_,
                                HasRoutes ? Parts_.Rng_.fraction() : 0);
  // A newer document that this instance has not read may know the request.
  const bool IsViewOld = Parts_.Fleet_.viewAge(At.now()) > MaxAgeToDeny;
  if (Kind)
    accept(At, Input, *Kind);
  else if (Parts_.Environment_.hasDocument() && !IsViewOld)
    Ender_.turnAway(At, Input.Call_, calls::EndingReason::NoSuchKind);
  else
    Ender_.turnAway(At, Input.Call_, calls::EndingReason::ViewTooOld);
}

void Intake::accept(const Step &At, const CallArrived &Input,
                    const MatchedKind &Kind) {
  const framework::Duration Timeout =
      std::min(Input.Timeout_.value_or(Kind.Deadline_), Kind.LongestWait_);
  calls::Call &Owner = Parts_.Calls_.accept(calls::CallRequest{
      .Call_ = Input.Call_,
      .Service_ = Kind.Service_,
      .Kind_ = Kind.Kind_,
      .Urgency_ = Input.Urgency_.value_or(Kind.Urgency_),
      .IsIdempotent_ = Kind.IsIdempotent_,
      .IsHedgingAllowed_ = Kind.IsHedgingAllowed_,
      .Arrival_ = At.now(),
      .Deadline_ = At.now() + Timeout,
      .Depth_ = Input.Depth_,
      .AttemptNumber_ = Input.Attempt_,
      .Key_ = Input.Key_,
      .MaxAttempts_ = Kind.MaxAttempts_ > 0 ? Kind.MaxAttempts_
                                            : Parts_.Calling_.MaxAttempts_,
      .LatencyObjective_ = Kind.LatencyObjective_});
  Parts_.Learning_.noteCall(Kind.Service_, At.now());
  ++Parts_.Counters_.CallsAccepted_;
  if (IsClosed_) {
    Ender_.giveUp(At, Owner, calls::EndingReason::InstanceStopping);
    return;
  }
  if (!View_.mayAccept(At.now())) {
    Ender_.giveUp(At, Owner, calls::EndingReason::ViewTooOld);
    return;
  }
  if (Timeout <= framework::Duration::zero()) {
    Ender_.giveUp(At, Owner, calls::EndingReason::DeadlinePassed);
    return;
  }
  Parts_.Deadlines_.set(Input.Call_, Owner.Request_.Deadline_);
  // Repeating an idempotent request does no harm, so its key decides nothing.
  if (Input.Key_ && !Kind.IsIdempotent_)
    Keyed_.ask(At, Owner);
  else
    Waiting_.enqueue(At, Owner);
}

void Intake::handle(const Step &At, const CallerGone &Input) {
  calls::Call *Owner = Parts_.Calls_.find(Input.Call_);
  if (!Owner)
    return;
  ++Parts_.Counters_.CallersGone_;
  Owner->IsCallerGone_ = true;
  for (const framework::AttemptId Id : Owner->LiveAttempts_) {
    const calls::Attempt &Live = Parts_.Calls_.attempts().at(Id);
    // What must not run twice runs to its end, so that its answer can be kept.
    if (!Live.IsIdempotent_ && Live.State_ == calls::AttemptState::Sent)
      return;
  }
  Ender_.giveUp(At, *Owner, calls::EndingReason::CallerGone);
}

void Intake::dropOverdue(const Step &At) {
  while (const auto Id = Parts_.Deadlines_.takeDue(At.now()))
    if (calls::Call *Owner = Parts_.Calls_.find(*Id))
      Ender_.giveUp(At, *Owner, calls::EndingReason::DeadlinePassed);
}

} // namespace cranberryspool::decision
