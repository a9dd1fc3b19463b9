#include "decision/internal/transporteventhandler.h"

#include <algorithm>

namespace cranberryspool::decision {

namespace {

constexpr std::uint32_t FirstServerError = 500;
/// The maximum number of attempts of a call while none of them can be sent to a
/// target.
constexpr std::uint32_t MaxStartedAttempts = 4;

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

/// Returns true if the target closed or reset the connection.
bool isConnectionClosed(calls::AttemptFailure Failure) {
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

void TransportEventHandler::handle(const EventContext &Context,
                                   const ConnectionOpened &Input) {
  const calls::Connection *Connection =
      Core_.Connections_.find(Input.Connection_);
  if (!Connection || Connection->State_ != calls::ConnectionState::Opening)
    return;
  Crashes_.recordOpened(Connection->Target_);
  Forwarder_.recordOpened(Context, Connection->Target_);
  Core_.Connections_.markIdle(Input.Connection_, Context.now());
  Attempts_.assignToWaiter(Context, Input.Connection_);
}

void TransportEventHandler::handle(const EventContext &Context,
                                   const ConnectionClosed &Input) {
  const calls::Connection *Connection =
      Core_.Connections_.find(Input.Connection_);
  if (!Connection)
    return;
  if (Connection->CurrentAttempt_) {
    handle(Context, AttemptFailed{.Attempt_ = *Connection->CurrentAttempt_,
                                  .Connection_ = Input.Connection_});
    return;
  }
  if (Connection->State_ == calls::ConnectionState::Opening) {
    if (Input.IsRefused_) {
      ++Core_.Counters_.ConnectionsRefused_;
      Crashes_.recordRefused(Context, Connection->Target_);
    }
    handleConnectFailure(Context, Input.Connection_);
    return;
  }
  const framework::TargetId Target = Connection->Target_;
  Core_.Connections_.remove(Input.Connection_);
  recordClosedByPeer(Context, Target, true);
}

void TransportEventHandler::recordClosedByPeer(const EventContext &Context,
                                               framework::TargetId Target,
                                               bool WasIdle) {
  if (Core_.Environment_.isPeer(Target))
    return;
  Crashes_.recordClosed(Context, Target);
  const std::uint32_t Remaining = Core_.Connections_.count(Target);
  if (ResetDetector_.recordClosed(Target, WasIdle, Remaining, Context.now()))
    Core_.Targets_.markCold(Target, Context.now());
}

void TransportEventHandler::handleConnectFailure(const EventContext &Context,
                                                 framework::ConnectionId Id) {
  const framework::TargetId Target = Core_.Connections_.find(Id)->Target_;
  Core_.Connections_.remove(Id);
  ++Core_.Counters_.ConnectionsFailed_;
  Forwarder_.recordOpenFailed(Context, Target);
  const auto Waiter = Core_.Connections_.takeWaiter(Target);
  if (!Waiter)
    return;
  const calls::Attempt Unsent = *Core_.Calls_.findAttempt(*Waiter);
  Attempts_.finish(Context, Unsent, routing::AttemptResult::NotConnected);
  handleUnsentAttempt(Context, Unsent);
}

void TransportEventHandler::handle(const EventContext &Context,
                                   const AnswerBegan &Input) {
  calls::Attempt *Running = Core_.Calls_.findAttempt(Input.Attempt_);
  if (!Running || Running->Connection_ != Input.Connection_)
    return;
  Running->HasAnswerBegun_ = true;
  if (Running->Kind_ != calls::AttemptKind::Forward)
    Forwarder_.recordHeard(Context);
  Core_.Connections_.recordActivity(Input.Connection_, Context.now());
  Core_.SilenceDetector_.stopWatching(*Running);
}

void TransportEventHandler::handle(const EventContext &Context,
                                   const AttemptAnswered &Input) {
  const calls::Attempt *Found = Core_.Calls_.findAttempt(Input.Attempt_);
  if (!Found || Found->Connection_ != Input.Connection_) {
    ++Core_.Counters_.AnswersLate_;
    return;
  }
  const calls::Attempt Ended = *Found;
  const Correlation Match = correlate(Input, Ended);
  calls::Call *Call = Core_.Calls_.find(Ended.Call_);
  if (Call && Input.IsNotRun_)
    Call->RefusedOn_.push_back(Input.Connection_);
  if (Match == Correlation::Mismatched) {
    ++Core_.Counters_.AnswersMismatched_;
    ConnectionManager_.close(Context, Input.Connection_);
    Attempts_.finish(Context, Ended, routing::AttemptResult::ServerError);
    handleLostAttempt(Context, Ended, calls::EndingReason::AnswerMismatched);
    return;
  }
  if (Ended.Kind_ == calls::AttemptKind::Forward) {
    Attempts_.finish(Context, Ended, resultOf(Input));
    handleForwardAnswer(Context, Ended, Input, Match);
    returnConnection(Context, Input, Ended);
    return;
  }
  recordMeasurements(Context, Input, Ended);
  Attempts_.finish(Context, Ended, resultOf(Input));
  if (resultOf(Input) == routing::AttemptResult::Answered)
    Crashes_.recordCompleted(Context, Ended);
  Call = Core_.Calls_.find(Ended.Call_);
  if (!Call)
    ++Core_.Counters_.AnswersLate_;
  else if (!Input.IsNotRun_)
    handleAnswer(Context, *Call, Ended, Input.Status_);
  else if (Match == Correlation::Confirmed)
    handleNotRun(Context, *Call);
  else
    handleLostAttempt(Context, Ended, calls::EndingReason::AnswerMismatched);
  returnConnection(Context, Input, Ended);
}

TransportEventHandler::Correlation
TransportEventHandler::correlate(const AttemptAnswered &Input,
                                 const calls::Attempt &Attempt) {
  const std::size_t Target = Attempt.Target_.value();
  if (Target >= EchoesAttemptId_.size())
    EchoesAttemptId_.resize(Target + 1, false);
  if (!Input.EchoedAttempt_)
    return EchoesAttemptId_[Target] ? Correlation::Mismatched
                                    : Correlation::Assumed;
  EchoesAttemptId_[Target] = true;
  if (*Input.EchoedAttempt_ != Attempt.Attempt_)
    return Correlation::Mismatched;
  return Correlation::Confirmed;
}

void TransportEventHandler::recordMeasurements(const EventContext &Context,
                                               const AttemptAnswered &Input,
                                               const calls::Attempt &Attempt) {
  const framework::Duration Elapsed = Context.now() - Attempt.SentAt_;
  Core_.SilenceDetector_.recordAnswered(Attempt, Elapsed);
  Observer_.recordObservation(Context, Attempt.Target_, Input.StartId_,
                              Input.Report_);
  if (Input.RequestLimit_)
    Core_.Targets_.recordRequestLimit(Attempt.Target_, *Input.RequestLimit_,
                                      Context.now());
  if (resultOf(Input) == routing::AttemptResult::Answered)
    Core_.ServiceStats_.recordLatency(Attempt.RequestKind_, Elapsed);
}

void TransportEventHandler::returnConnection(const EventContext &Context,
                                             const AttemptAnswered &Input,
                                             const calls::Attempt &Attempt) {
  const bool IsAbandoned = Attempt.State_ == calls::AttemptState::Abandoned;
  if (IsAbandoned || !Input.IsReusable_) {
    ConnectionManager_.close(Context, Input.Connection_);
    ConnectionManager_.openForWaiters(Context, Attempt.Target_);
    return;
  }
  Core_.Connections_.markIdle(Input.Connection_, Context.now());
  Attempts_.assignToWaiter(Context, Input.Connection_);
}

void TransportEventHandler::handle(const EventContext &Context,
                                   const AttemptFailed &Input) {
  const calls::Attempt *Found = Core_.Calls_.findAttempt(Input.Attempt_);
  if (!Found || Found->Connection_ != Input.Connection_)
    return;
  const calls::Attempt Ended = *Found;
  Core_.Connections_.remove(Input.Connection_);
  Attempts_.finish(Context, Ended, routing::AttemptResult::ConnectionFailed,
                   Input.Failure_);
  if (isConnectionClosed(Input.Failure_)) {
    recordClosedByPeer(Context, Ended.Target_, false);
    if (Input.Written_ != calls::WriteState::NothingWritten)
      Crashes_.recordLost(Context, Ended);
  }
  ConnectionManager_.openForWaiters(Context, Ended.Target_);
  if (Input.Written_ != calls::WriteState::NothingWritten) {
    handleLostAttempt(Context, Ended, reasonOf(Input.Failure_));
    return;
  }
  if (calls::Call *Call = Core_.Calls_.find(Ended.Call_))
    --Call->SentAttempts_;
  handleUnsentAttempt(Context, Ended);
}

void TransportEventHandler::handleForwardAnswer(const EventContext &Context,
                                                const calls::Attempt &Ended,
                                                const AttemptAnswered &Input,
                                                Correlation Match) {
  calls::Call *Call = Core_.Calls_.find(Ended.Call_);
  if (!Call) {
    ++Core_.Counters_.AnswersLate_;
    return;
  }
  if (Input.IsNotRun_ && Match == Correlation::Confirmed) {
    --Call->SentAttempts_;
    Forwarder_.handleNotRun(Context, Ended);
    return;
  }
  // The other instance has made all attempts that the call is allowed.
  Call->AnswerStatus_ = Input.Status_;
  Call->MayHaveRun_ = true;
  Finisher_.answer(Context, *Call, Ended.Attempt_);
}

void TransportEventHandler::handleAnswer(const EventContext &Context,
                                         calls::Call &Call,
                                         const calls::Attempt &Ended,
                                         std::uint32_t Status) {
  const bool IsFailure = Status >= FirstServerError;
  Call.AnswerStatus_ = Status;
  if (IsFailure && Call.Request_.IsIdempotent_) {
    Call.MayHaveRun_ = true;
    Call.FallbackAnswer_ = Ended.Attempt_;
    if (!Call.LiveAttempts_.empty())
      return;
    if (mayRetry(Context, Call)) {
      Admission_.requeue(Context, Call);
      return;
    }
  }
  if (!IsFailure) {
    Core_.ServiceStats_.recordSuccess(Ended.Service_);
    if (Ended.Kind_ == calls::AttemptKind::Hedge)
      ++Core_.Counters_.HedgesWon_;
  }
  Finisher_.answer(Context, Call, Ended.Attempt_);
}

void TransportEventHandler::handleLostAttempt(const EventContext &Context,
                                              const calls::Attempt &Lost,
                                              calls::EndingReason Reason) {
  calls::Call *Call = Core_.Calls_.find(Lost.Call_);
  if (!Call)
    return;
  Call->MayHaveRun_ = true;
  if (!Call->LiveAttempts_.empty())
    return;
  if (Call->Request_.IsIdempotent_ && mayRetry(Context, *Call))
    Admission_.requeue(Context, *Call);
  else
    Finisher_.fail(Context, *Call, Reason);
}

void TransportEventHandler::handleUnsentAttempt(const EventContext &Context,
                                                const calls::Attempt &Unsent) {
  calls::Call *Call = Core_.Calls_.find(Unsent.Call_);
  if (!Call || !Call->LiveAttempts_.empty())
    return;
  if (Unsent.Kind_ == calls::AttemptKind::Forward) {
    Forwarder_.handleNotRun(Context, Unsent);
    return;
  }
  if (Forwarder_.tryForward(Context, *Call))
    return;
  if (Call->IsCallerGone_)
    Finisher_.fail(Context, *Call, calls::EndingReason::CallerGone);
  else if (Call->StartedAttempts_ < MaxStartedAttempts)
    Admission_.requeue(Context, *Call);
  else
    Finisher_.fail(Context, *Call, calls::EndingReason::ConnectFailed);
}

void TransportEventHandler::handleNotRun(const EventContext &Context,
                                         calls::Call &Call) {
  Call.WasShed_ = true;
  if (!Call.LiveAttempts_.empty())
    return;
  if (Call.IsCallerGone_) {
    Finisher_.fail(Context, Call, calls::EndingReason::CallerGone);
    return;
  }
  if (Core_.Calls_.mayStartAttempt(Call) &&
      Core_.ServiceStats_.tryGrantResend(Call, Context.now())) {
    Admission_.requeue(Context, Call);
    return;
  }
  ++Core_.Counters_.RetriesOverBudget_;
  Finisher_.fail(Context, Call, calls::EndingReason::Shed);
}

bool TransportEventHandler::mayRetry(const EventContext &Context,
                                     calls::Call &Call) {
  if (Call.IsCallerGone_ || Call.IsForwarded_ ||
      Call.Request_.AttemptNumber_ > 1)
    return false;
  if (!Core_.Calls_.mayStartAttempt(Call))
    return false;
  if (Core_.ServiceStats_.tryGrantExtra(Call, Context.now()))
    return true;
  ++Core_.Counters_.RetriesOverBudget_;
  return false;
}

void TransportEventHandler::failSilentConnections(const EventContext &Context) {
  while (const auto Id = Core_.SilenceDetector_.takeSilent(Context.now())) {
    const calls::Attempt *Found = Core_.Calls_.findAttempt(*Id);
    // The target may be at work all the same. While the instance stops, a call
    // waits for its answer up to its deadline.
    if (!Found || Core_.StopEndsAt_)
      continue;
    const calls::Attempt Lost = *Found;
    const framework::Instant LastAlive =
        Core_.Connections_.find(Lost.Connection_)->LastActivity_;
    ++Core_.Counters_.ConnectionsSilent_;
    ConnectionManager_.close(Context, Lost.Connection_);
    // The fault that cut this connection may also have cut connections with
    // older activity.
    ConnectionManager_.closeIdleBefore(Context, Lost.Target_, LastAlive);
    Attempts_.finish(Context, Lost, routing::AttemptResult::ConnectionSilent);
    ConnectionManager_.openForWaiters(Context, Lost.Target_);
    handleLostAttempt(Context, Lost, calls::EndingReason::ConnectionSilent);
  }
}

void TransportEventHandler::requeueUnsent(
    const EventContext &Context,
    const std::set<framework::TargetId> &NewlyUnconfirmed) {
  std::vector<calls::Attempt> Unsent;
  for (const auto &[Id, Live] : Core_.Calls_.attempts()) {
    if (Live.State_ != calls::AttemptState::WaitingForConnection ||
        Live.Kind_ == calls::AttemptKind::Forward)
      continue;
    if (!Core_.Environment_.acceptsWork(Live.Target_) ||
        (NewlyUnconfirmed.contains(Live.Target_) &&
         shouldLeaveUnconfirmed(Live)))
      Unsent.push_back(Live);
  }
  for (const calls::Attempt &Attempt : Unsent) {
    Attempts_.cancel(Context, Attempt.Attempt_,
                     routing::AttemptResult::Cancelled);
    handleUnsentAttempt(Context, Attempt);
  }
}

bool TransportEventHandler::shouldLeaveUnconfirmed(
    const calls::Attempt &Unsent) const {
  const calls::Call *Call = Core_.Calls_.find(Unsent.Call_);
  if (!Call)
    return false;
  if (Unsent.Kind_ == calls::AttemptKind::Hedge &&
      Call->LiveAttempts_.size() > 1)
    return true;
  // A call that may start no other attempt would fail without need.
  return Core_.Targets_.isAvoided(Unsent.Target_) &&
         Call->StartedAttempts_ < MaxStartedAttempts;
}

void TransportEventHandler::failSlowConnects(const EventContext &Context) {
  std::vector<framework::ConnectionId> Overdue;
  for (const auto &[Id, Connection] : Core_.Connections_.connections())
    if (Connection.State_ == calls::ConnectionState::Opening &&
        Connection.OpenedAt_ + Core_.CallSettings_.ConnectTimeout_ <
            Context.now())
      Overdue.push_back(Id);
  for (const framework::ConnectionId Id : Overdue) {
    Context.Output_.push_back(CloseConnection{Id});
    handleConnectFailure(Context, Id);
  }
}

} // namespace cranberryspool::decision
