#include "decision/internal/callfinisher.h"

#include <algorithm>

#include <chrono>
#include <utility>
#include <vector>

namespace cranberryspool::decision {

void CallFinisher::answer(const EventContext &Context, calls::Call &Call,
                          framework::AttemptId Attempt) {
  ++Core_.Counters_.CallsAnswered_;
  if (Call.HoldsKey_)
    Context.Output_.push_back(KeepAnswer{Call.Request_.Call_});
  recordEnd(Context, Call, calls::Ending::Answered);
  emitResult(Context, releaseResources(Context, Call).answer(Attempt));
}

void CallFinisher::replay(const EventContext &Context, calls::Call &Call) {
  ++Core_.Counters_.CallsReplayed_;
  recordEnd(Context, Call, calls::Ending::Answered);
  emitResult(Context, releaseResources(Context, Call).replay());
}

void CallFinisher::fail(const EventContext &Context, calls::Call &Call,
                        calls::EndingReason Reason) {
  if (Call.FallbackAnswer_) {
    answer(Context, Call, *Call.FallbackAnswer_);
    return;
  }
  refuse(Context, Call, determineEnding(Call, Reason), Reason);
}

void CallFinisher::refuse(const EventContext &Context, calls::Call &Call,
                          calls::Ending Ending, calls::EndingReason Reason) {
  if (Ending == calls::Ending::Unknown)
    ++Core_.Counters_.CallsUnknown_;
  if (Ending == calls::Ending::NotRun)
    ++Core_.Counters_.CallsNotRun_;
  if (Ending == calls::Ending::DeadlinePassed)
    ++Core_.Counters_.CallsDeadlinePassed_;
  if (Reason == calls::EndingReason::RequestQuarantined)
    ++Core_.Counters_.CallsQuarantined_;
  const framework::Duration RetryAfter = retryAfter(Context, Call, Reason);
  recordEnd(Context, Call, Ending, Reason);
  emitResult(
      Context,
      releaseResources(Context, Call).refuse(Ending, Reason, RetryAfter));
}

void CallFinisher::reject(const EventContext &Context, framework::CallId Call,
                          calls::EndingReason Reason) {
  ++Core_.Counters_.CallsNotRun_;
  emitResult(Context, calls::EndingToken(Call).refuse(
                          calls::Ending::NotRun, Reason, retryAfter(Reason)));
}

calls::Ending CallFinisher::determineEnding(const calls::Call &Call,
                                            calls::EndingReason Reason) const {
  if (Call.MayHaveRun_)
    return calls::Ending::Unknown;
  if (Core_.Calls_.isAtTarget(Call))
    return calls::Ending::Unknown;
  // An earlier call with the same key may have run.
  if (Call.State_ == calls::CallState::AwaitingKey ||
      Call.State_ == calls::CallState::FetchingAnswer)
    return calls::Ending::Unknown;
  if (Reason == calls::EndingReason::DeadlinePassed && Call.SentAttempts_ == 0)
    return calls::Ending::DeadlinePassed;
  return calls::Ending::NotRun;
}

framework::Duration CallFinisher::retryAfter(calls::EndingReason Reason) {
  switch (Reason) {
  case calls::EndingReason::NoSuchKind:
  case calls::EndingReason::KeyInvalid:
  case calls::EndingReason::KeyTooOld:
  case calls::EndingReason::DeadlineTooShort:
  case calls::EndingReason::CallerGone:
  case calls::EndingReason::Unauthenticated:
    return framework::Duration::zero();
  default:
    break;
  }
  const auto Base = std::chrono::floor<std::chrono::milliseconds>(
      Core_.CallSettings_.RetryAfter_);
  const auto Extra = Core_.Rng_.index(static_cast<std::size_t>(Base.count()));
  return Base + std::chrono::milliseconds(Extra);
}

framework::Duration CallFinisher::retryAfter(const EventContext &Context,
                                             const calls::Call &Call,
                                             calls::EndingReason Reason) {
  const framework::Duration Usual = retryAfter(Reason);
  const framework::Duration Drain =
      Core_.Queue_.drainTime(Call.Request_.Service_, Context.now());
  // Repeating a quarantined request sooner is of no use.
  if (Reason == calls::EndingReason::RequestQuarantined)
    return Core_.Quarantine_.timeLeft(Call.Request_.Fingerprint_, Context.now())
        .value_or(Usual);
  // Earlier there is no credit, however long the caller can wait.
  if (Reason == calls::EndingReason::OverQuota)
    return Call.NextCreditIn_;
  const auto Share = Core_.CallSettings_.MaxRetryAfterShare_;
  if (!Share)
    return Usual;
  const auto Longest = std::chrono::duration_cast<framework::Duration>(
      (Call.Request_.Deadline_ - Context.now()) * *Share);
  return std::clamp(Usual + Drain, framework::Duration{},
                    std::max(Longest, framework::Duration{}));
}

void CallFinisher::recordEnd(const EventContext &Context,
                             const calls::Call &Call, calls::Ending Ending,
                             calls::EndingReason Reason) {
  const calls::CallRequest &Request = Call.Request_;
  Core_.EndedCalls_.push_back(EndedCall{
      .Call_ = Request.Call_,
      .Service_ = Core_.Environment_.serviceName(Request.Service_),
      .Urgency_ = Request.Urgency_,
      .Ending_ = Ending,
      .Status_ = Call.AnswerStatus_,
      .Elapsed_ = Context.now() - Request.Arrival_,
      .IsCallerGone_ = Call.IsCallerGone_,
      .Reason_ = Reason,
      .Attempts_ = Call.SentAttempts_,
      .Kind_ = Core_.Environment_.kindName(Request.Kind_),
      .Fingerprint_ = Request.Fingerprint_,
      .Workspace_ = Request.Workspace_
                        ? Core_.Environment_.workspaceName(*Request.Workspace_)
                        : framework::WorkspaceName(),
      .StoppingFor_ =
          Core_.StopRequestedAt_
              ? std::optional(Context.now() - *Core_.StopRequestedAt_)
              : std::nullopt,
      .IsAtTarget_ = Core_.Calls_.isAtTarget(Call),
      .DecidedBy_ = Request.DecidedBy_});
  const bool HasNotRun = Ending == calls::Ending::NotRun ||
                         Ending == calls::Ending::DeadlinePassed;
  if (Call.HoldsQuotaCredit_ && HasNotRun)
    Core_.Quotas_.giveBack(
        Core_.Environment_.workspaceName(*Request.Workspace_), Context.now());
  if (Call.State_ == calls::CallState::AwaitingQuota)
    Core_.Quotas_.cancel(Request.Call_);
  if (Call.HoldsKey_)
    Core_.Fleet_.handleKeyedCallEnd(Request.Call_, Ending,
                                    Ending == calls::Ending::Answered,
                                    Context.Now_, Core_.FleetOutput_);
}

calls::EndingToken CallFinisher::releaseResources(const EventContext &Context,
                                                  calls::Call &Call) {
  const framework::CallId Id = Call.Request_.Call_;
  if (Call.State_ == calls::CallState::Running && !Call.IsForwarded_)
    Core_.Queue_.recordEnded(
        Call.Request_.Service_, Call.Request_.Urgency_, Call.LastResult_,
        Context.now() - Call.StartedAt_,
        Core_.Targets_.serviceLoad(Call.Request_.Service_, Context.now()),
        Context.now());
  const std::vector<framework::AttemptId> Live = Call.LiveAttempts_;
  for (const framework::AttemptId AttemptId : Live) {
    calls::Attempt &Attempt = *Core_.Calls_.findAttempt(AttemptId);
    if (Attempt.State_ == calls::AttemptState::Sent && !Attempt.IsIdempotent_)
      Attempts_.abandon(Context, Attempt);
    else
      Attempts_.cancel(Context, AttemptId, routing::AttemptResult::Cancelled);
  }
  Core_.ServiceStats_.releaseGrants(Call);
  Core_.Queue_.remove(Id);
  Core_.DeadlineTimers_.clear(Id);
  Core_.HedgeTimers_.clear(Id);
  return Core_.Calls_.remove(Id);
}

void CallFinisher::emitResult(const EventContext &Context,
                              const calls::CallEnding &Result) {
  if (Result.ending() != calls::Ending::Answered) {
    Context.Output_.push_back(RefuseCall{Result.call(), Result.ending(),
                                         Result.reason(), Result.retryAfter()});
    return;
  }
  if (Result.attempt())
    Context.Output_.push_back(AnswerCall{Result.call(), *Result.attempt()});
  else
    Context.Output_.push_back(ReplayKeptAnswer{Result.call()});
}

} // namespace cranberryspool::decision
