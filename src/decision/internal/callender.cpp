#include "decision/internal/callender.h"

#include <algorithm>

#include <chrono>
#include <utility>
#include <vector>

namespace cranberryspool::decision {

void CallEnder::answer(const Step &At, calls::Call &Owner,
                       framework::AttemptId Attempt) {
  ++Parts_.Counters_.CallsAnswered_;
  if (Owner.HoldsKey_)
    At.Output_.push_back(KeepAnswer{Owner.Request_.Call_});
  note(At, Owner, calls::Ending::Answered);
  tell(At, release(At, Owner).answer(Attempt));
}

void CallEnder::replay(const Step &At, calls::Call &Owner) {
  ++Parts_.Counters_.CallsReplayed_;
  note(At, Owner, calls::Ending::Answered);
  tell(At, release(At, Owner).replay());
}

void CallEnder::giveUp(const Step &At, calls::Call &Owner,
                       calls::EndingReason Why) {
  if (Owner.FallbackAnswer_) {
    answer(At, Owner, *Owner.FallbackAnswer_);
    return;
  }
  refuse(At, Owner, endingOf(Owner, Why), Why);
}

void CallEnder::refuse(const Step &At, calls::Call &Owner, calls::Ending How,
                       calls::EndingReason Why) {
  if (How == calls::Ending::Unknown)
    ++Parts_.Counters_.CallsUnknown_;
  if (How == calls::Ending::NotRun)
    ++Parts_.Counters_.CallsNotRun_;
  if (How == calls::Ending::DeadlinePassed)
    ++Parts_.Counters_.CallsDeadlinePassed_;
  framework::Duration RetryAfter = retryAfter(Why);
  if (const auto Share = Parts_.Calling_.RetryAfterShare_) {
    const auto Left = std::chrono::duration_cast<framework::Duration>(
        (Owner.Request_.Deadline_ - At.now()) * *Share);
    RetryAfter = std::max(std::min(RetryAfter, Left), framework::Duration{});
  }
  note(At, Owner, How, Why);
  tell(At, release(At, Owner).refuse(How, Why, RetryAfter));
}

void CallEnder::turnAway(const Step &At, framework::CallId Call,
                         calls::EndingReason Why) {
  ++Parts_.Counters_.CallsNotRun_;
  tell(At, calls::EndingToken(Call).refuse(calls::Ending::NotRun, Why,
                                           retryAfter(Why)));
}

calls::Ending CallEnder::endingOf(const calls::Call &Owner,
                                  calls::EndingReason Why) const {
  if (Owner.MayHaveRun_)
    return calls::Ending::Unknown;
  for (const framework::AttemptId Id : Owner.LiveAttempts_)
    if (Parts_.Calls_.attempts().at(Id).State_ == calls::AttemptState::Sent)
      return calls::Ending::Unknown;
  // A call of the same key may have run before.
  if (Owner.State_ == calls::CallState::AwaitingKey ||
      Owner.State_ == calls::CallState::FetchingAnswer)
    return calls::Ending::Unknown;
  if (Why == calls::EndingReason::DeadlinePassed && Owner.SentAttempts_ == 0)
    return calls::Ending::DeadlinePassed;
  return calls::Ending::NotRun;
}

framework::Duration CallEnder::retryAfter(calls::EndingReason Why) {
  switch (Why) {
  case calls::EndingReason::NoSuchKind:
  case calls::EndingReason::KeyInvalid:
  case calls::EndingReason::KeyTooOld:
  case calls::EndingReason::DeadlineTooShort:
  case calls::EndingReason::CallerGone:
    return framework::Duration::zero();
  default:
    break;
  }
  const auto Base = std::chrono::floor<std::chrono::milliseconds>(
      Parts_.Calling_.RetryAfter_);
  const auto Extra = Parts_.Rng_.index(static_cast<std::size_t>(Base.count()));
  return Base + std::chrono::milliseconds(Extra);
}

void CallEnder::note(const Step &At, const calls::Call &Owner,
                     calls::Ending How, calls::EndingReason Why) {
  const calls::CallRequest &Request = Owner.Request_;
  Parts_.Ended_.push_back(
      EndedCall{.Call_ = Request.Call_,
                .Service_ = Parts_.Environment_.serviceName(Request.Service_),
                .Urgency_ = Request.Urgency_,
                .Ending_ = How,
                .Status_ = Owner.AnswerStatus_,
                .Elapsed_ = At.now() - Request.Arrival_,
                .IsCallerGone_ = Owner.IsCallerGone_,
                .Reason_ = Why,
                .Attempts_ = Owner.SentAttempts_,
                .Kind_ = Parts_.Environment_.kindName(Request.Kind_)});
  if (Owner.HoldsKey_)
    Parts_.Fleet_.noteKeyedCallEnded(Request.Call_, How,
                                     How == calls::Ending::Answered, At.Now_,
                                     Parts_.FleetOutput_);
}

calls::EndingToken CallEnder::release(const Step &At, calls::Call &Owner) {
  const framework::CallId Id = Owner.Request_.Call_;
  if (Owner.State_ == calls::CallState::Running)
    Parts_.Queue_.recordEnded(Owner.Request_.Service_, Owner.Request_.Urgency_,
                              Owner.LastResult_, At.now() - Owner.StartedAt_,
                              At.now());
  const std::vector<framework::AttemptId> Live = Owner.LiveAttempts_;
  for (const framework::AttemptId Left : Live) {
    calls::Attempt &Running = *Parts_.Calls_.findAttempt(Left);
    if (Running.State_ == calls::AttemptState::Sent && !Running.IsIdempotent_)
      Attempts_.abandon(At, Running);
    else
      Attempts_.cancel(At, Left, routing::AttemptResult::Cancelled);
  }
  Parts_.Queue_.remove(Id);
  Parts_.Deadlines_.clear(Id);
  Parts_.Hedges_.clear(Id);
  return Parts_.Calls_.remove(Id);
}

void CallEnder::tell(const Step &At, const calls::CallEnding &Told) {
  if (Told.ending() != calls::Ending::Answered) {
    At.Output_.push_back(RefuseCall{Told.call(), Told.ending(), Told.reason(),
                                    Told.retryAfter()});
    return;
  }
  if (Told.attempt())
    At.Output_.push_back(AnswerCall{Told.call(), *Told.attempt()});
  else
    At.Output_.push_back(ReplayKeptAnswer{Told.call()});
}

} // namespace cranberryspool::decision
