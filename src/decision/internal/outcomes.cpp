#include "decision/internal/outcomes.h"

#include <algorithm>

namespace cranberryspool::decision {

namespace {

constexpr std::uint32_t FirstServerError = 500;
/// Attempts of one call at most when nothing of them reaches a target.
constexpr std::uint32_t MaxStarts = 4;

calls::EndingReason reasonOf(calls::AttemptFailure Failure) {
  switch (Failure) {
  case calls::AttemptFailure::Truncated:
  case calls::AttemptFailure::Malformed:
  case calls::AttemptFailure::AnswerTooLarge:
    return calls::EndingReason::AnswerTruncated;
  case calls::AttemptFailure::ConnectionClosed:
  case calls::AttemptFailure::ConnectionReset:
    break;
  }
  return calls::EndingReason::ConnectionLost;
}

/// True when the other end gave up the connection as such.
bool isClosing(calls::AttemptFailure Failure) {
  return Failure == calls::AttemptFailure::ConnectionClosed ||
         Failure == calls::AttemptFailure::ConnectionReset;
}

routing::AttemptResult resultOf(const AttemptAnswered &Input) {
  if (Input.IsNotRun_)
    return routing::AttemptResult::NotRun;
  if (Input.Status_ >= FirstServerError)
    return routing::AttemptResult::ServerError;
  return routing::AttemptResult::Answered;
}

} // namespace

void Outcomes::handle(const Step &At, const ConnectionOpened &Input) {
  const calls::Connection *Conn = Parts_.Connections_.find(Input.Connection_);
  if (!Conn || Conn->State_ != calls::ConnectionState::Opening)
    return;
  Parts_.Connections_.markIdle(Input.Connection_, At.now());
  Attempts_.serveWaiter(At, Input.Connection_);
}

void Outcomes::handle(const Step &At, const ConnectionClosed &Input) {
  const calls::Connection *Conn = Parts_.Connections_.find(Input.Connection_);
  if (!Conn)
    return;
  if (Conn->CurrentAttempt_) {
    handle(At, AttemptFailed{.Attempt_ = *Conn->CurrentAttempt_,
                             .Connection_ = Input.Connection_});
    return;
  }
  if (Conn->State_ == calls::ConnectionState::Opening) {
    failOpening(At, Input.Connection_);
    return;
  }
  const framework::TargetId Target = Conn->Target_;
  Parts_.Connections_.remove(Input.Connection_);
  noteReset(At, Target, true);
}

void Outcomes::noteReset(const Step &At, framework::TargetId Target,
                         bool WasIdle) {
  const std::uint32_t Remaining = Parts_.Connections_.count(Target);
  if (Resets_.recordClosed(Target, WasIdle, Remaining, At.now()))
    Parts_.Targets_.markCold(Target, At.now());
}

void Outcomes::failOpening(const Step &At, framework::ConnectionId Id) {
  const framework::TargetId Target = Parts_.Connections_.find(Id)->Target_;
  Parts_.Connections_.remove(Id);
  ++Parts_.Counters_.ConnectionsFailed_;
  const auto Waiter = Parts_.Connections_.takeWaiter(Target);
  if (!Waiter)
    return;
  const calls::Attempt Unsent = *Parts_.Calls_.findAttempt(*Waiter);
  Attempts_.finish(At, Unsent, routing::AttemptResult::NotConnected);
  followUnsent(At, Unsent);
}

void Outcomes::handle(const Step &At, const AnswerBegan &Input) {
  calls::Attempt *Running = Parts_.Calls_.findAttempt(Input.Attempt_);
  if (!Running || Running->Connection_ != Input.Connection_)
    return;
  Running->HasAnswerBegun_ = true;
  Parts_.Connections_.recordActivity(Input.Connection_, At.now());
  Parts_.Silence_.stopWatching(*Running);
}

void Outcomes::handle(const Step &At, const AttemptAnswered &Input) {
  const calls::Attempt *Found = Parts_.Calls_.findAttempt(Input.Attempt_);
  if (!Found || Found->Connection_ != Input.Connection_) {
    ++Parts_.Counters_.AnswersLate_;
    return;
  }
  const calls::Attempt Ended = *Found;
  const Correlation Match = correlate(Input, Ended);
  if (Match == Correlation::Mismatched) {
    ++Parts_.Counters_.AnswersMismatched_;
    Keeper_.close(At, Input.Connection_);
    Attempts_.finish(At, Ended, routing::AttemptResult::ServerError);
    followLoss(At, Ended, calls::EndingReason::AnswerMismatched);
    return;
  }
  learn(At, Input, Ended);
  Attempts_.finish(At, Ended, resultOf(Input));
  calls::Call *Owner = Parts_.Calls_.find(Ended.Call_);
  if (!Owner)
    ++Parts_.Counters_.AnswersLate_;
  else if (!Input.IsNotRun_)
    followAnswer(At, *Owner, Ended, Input.Status_);
  else if (Match == Correlation::Confirmed)
    followNotRun(At, *Owner);
  else
    followLoss(At, Ended, calls::EndingReason::AnswerMismatched);
  giveBack(At, Input, Ended);
}

Outcomes::Correlation Outcomes::correlate(const AttemptAnswered &Input,
                                          const calls::Attempt &Of) {
  const std::size_t Target = Of.Target_.value();
  if (Target >= Echoes_.size())
    Echoes_.resize(Target + 1, false);
  if (!Input.EchoedAttempt_)
    return Echoes_[Target] ? Correlation::Mismatched : Correlation::Assumed;
  Echoes_[Target] = true;
  if (*Input.EchoedAttempt_ != Of.Attempt_)
    return Correlation::Mismatched;
  return Correlation::Confirmed;
}

void Outcomes::learn(const Step &At, const AttemptAnswered &Input,
                     const calls::Attempt &Of) {
  const framework::Duration Elapsed = At.now() - Of.SentAt_;
  Parts_.Silence_.recordAnswered(Of, Elapsed);
  Notes_.noteSeen(At, Of.Target_, Input.StartId_, Input.Report_);
  if (resultOf(Input) == routing::AttemptResult::Answered)
    Parts_.Learning_.latency(Of.RequestKind_).record(Elapsed);
}

void Outcomes::giveBack(const Step &At, const AttemptAnswered &Input,
                        const calls::Attempt &Of) {
  const bool IsAbandoned = Of.State_ == calls::AttemptState::Abandoned;
  if (IsAbandoned || !Input.IsReusable_) {
    Keeper_.close(At, Input.Connection_);
    Keeper_.openForWaiters(At, Of.Target_);
    return;
  }
  Parts_.Connections_.markIdle(Input.Connection_, At.now());
  Attempts_.serveWaiter(At, Input.Connection_);
}

void Outcomes::handle(const Step &At, const AttemptFailed &Input) {
  const calls::Attempt *Found = Parts_.Calls_.findAttempt(Input.Attempt_);
  if (!Found || Found->Connection_ != Input.Connection_)
    return;
  const calls::Attempt Ended = *Found;
  Parts_.Connections_.remove(Input.Connection_);
  Attempts_.finish(At, Ended, routing::AttemptResult::ConnectionFailed);
  if (isClosing(Input.Failure_))
    noteReset(At, Ended.Target_, false);
  Keeper_.openForWaiters(At, Ended.Target_);
  if (Input.Written_ == calls::WriteState::NothingWritten)
    followUnsent(At, Ended);
  else
    followLoss(At, Ended, reasonOf(Input.Failure_));
}

void Outcomes::followAnswer(const Step &At, calls::Call &Owner,
                            const calls::Attempt &Ended, std::uint32_t Status) {
  const bool IsFailure = Status >= FirstServerError;
  Owner.AnswerStatus_ = Status;
  if (IsFailure && Owner.Request_.IsIdempotent_) {
    Owner.MayHaveRun_ = true;
    Owner.FallbackAnswer_ = Ended.Attempt_;
    if (!Owner.LiveAttempts_.empty())
      return;
    if (mayRetry(At, Owner)) {
      Waiting_.enqueueAgain(At, Owner);
      return;
    }
  }
  if (!IsFailure) {
    Parts_.Learning_.noteSuccess(Ended.Service_);
    if (Ended.Kind_ == calls::AttemptKind::Hedge)
      ++Parts_.Counters_.HedgesWon_;
  }
  Ender_.answer(At, Owner, Ended.Attempt_);
}

void Outcomes::followLoss(const Step &At, const calls::Attempt &Lost,
                          calls::EndingReason Why) {
  calls::Call *Owner = Parts_.Calls_.find(Lost.Call_);
  if (!Owner)
    return;
  Owner->MayHaveRun_ = true;
  if (!Owner->LiveAttempts_.empty())
    return;
  if (Owner->Request_.IsIdempotent_ && mayRetry(At, *Owner))
    Waiting_.enqueueAgain(At, *Owner);
  else
    Ender_.giveUp(At, *Owner, Why);
}

void Outcomes::followUnsent(const Step &At, const calls::Attempt &Unsent) {
  calls::Call *Owner = Parts_.Calls_.find(Unsent.Call_);
  if (!Owner || !Owner->LiveAttempts_.empty())
    return;
  if (Owner->IsCallerGone_)
    Ender_.giveUp(At, *Owner, calls::EndingReason::CallerGone);
  else if (Owner->StartedAttempts_ < MaxStarts)
    Waiting_.enqueueAgain(At, *Owner);
  else
    Ender_.giveUp(At, *Owner, calls::EndingReason::ConnectFailed);
}

void Outcomes::followNotRun(const Step &At, calls::Call &Owner) {
  Owner.WasShed_ = true;
  if (!Owner.LiveAttempts_.empty())
    return;
  if (Owner.IsCallerGone_) {
    Ender_.giveUp(At, Owner, calls::EndingReason::CallerGone);
    return;
  }
  if (Owner.SentAttempts_ < Owner.Request_.MaxAttempts_ &&
      Parts_.Learning_.tryResend(Owner.Request_.Service_, At.now())) {
    Waiting_.enqueueAgain(At, Owner);
    return;
  }
  ++Parts_.Counters_.RetriesOverBudget_;
  Ender_.giveUp(At, Owner, calls::EndingReason::Shed);
}

bool Outcomes::mayRetry(const Step &At, const calls::Call &Owner) {
  if (Owner.IsCallerGone_ || Owner.Request_.AttemptNumber_ > 1)
    return false;
  if (Owner.SentAttempts_ >= Owner.Request_.MaxAttempts_)
    return false;
  if (Parts_.Learning_.tryExtra(Owner.Request_.Service_, At.now()))
    return true;
  ++Parts_.Counters_.RetriesOverBudget_;
  return false;
}

void Outcomes::dropSilent(const Step &At) {
  while (const auto Id = Parts_.Silence_.takeSilent(At.now())) {
    const calls::Attempt *Found = Parts_.Calls_.findAttempt(*Id);
    if (!Found)
      continue;
    const calls::Attempt Lost = *Found;
    const framework::Instant LastAlive =
        Parts_.Connections_.find(Lost.Connection_)->LastActivity_;
    ++Parts_.Counters_.ConnectionsSilent_;
    Keeper_.close(At, Lost.Connection_);
    // Whatever cut this connection may have cut those unheard for longer.
    Keeper_.closeIdleBefore(At, Lost.Target_, LastAlive);
    Attempts_.finish(At, Lost, routing::AttemptResult::ConnectionSilent);
    Keeper_.openForWaiters(At, Lost.Target_);
    followLoss(At, Lost, calls::EndingReason::ConnectionSilent);
  }
}

void Outcomes::takeBackUnsent(const Step &At) {
  std::vector<calls::Attempt> Unsent;
  for (const auto &[Id, Live] : Parts_.Calls_.attempts())
    if (Live.State_ == calls::AttemptState::WaitingForConnection &&
        !Parts_.Environment_.takesWork(Live.Target_))
      Unsent.push_back(Live);
  for (const calls::Attempt &Taken : Unsent) {
    Attempts_.cancel(At, Taken.Attempt_, routing::AttemptResult::Cancelled);
    followUnsent(At, Taken);
  }
}

void Outcomes::dropUnopened(const Step &At) {
  std::vector<framework::ConnectionId> Stuck;
  for (const auto &[Id, Conn] : Parts_.Connections_.connections())
    if (Conn.State_ == calls::ConnectionState::Opening &&
        Conn.OpenedAt_ + Parts_.Calling_.ConnectTimeout_ < At.now())
      Stuck.push_back(Id);
  for (const framework::ConnectionId Id : Stuck) {
    At.Output_.push_back(CloseConnection{Id});
    failOpening(At, Id);
  }
}

} // namespace cranberryspool::decision
