#include "entry/internal/dispatcher.h"

#include "calls/endingnames.h"
#include "entry/internal/endingstatus.h"
#include "framework/runtime/clocks.h"

#include <algorithm>
#include <unordered_set>

namespace cranberryspool::entry {

using framework::Instant;

Dispatcher::Dispatcher(boost::asio::io_context &Io, decision::Core Core,
                       WorkerMailboxes &Mailboxes, InstanceState &State,
                       const DecisionLog &Log)
    : Core_(std::move(Core)), Mailboxes_(Mailboxes), State_(State), Log_(Log),
      Callers_(Io, Mailboxes.Callers_), Targets_(Io, Mailboxes.Targets_),
      Platform_(Io, Mailboxes.Platform_), Records_(Io, Mailboxes.Records_),
      SectionFetches_(Io, Mailboxes.SectionFetches_),
      StoredResponseFetches_(Io, Mailboxes.StoredResponseFetches_), Timer_(Io) {
  Mailboxes_.Dispatch_.attach(Io,
                              [this](DispatchInput &Input) { onInput(Input); });
  handle(decision::Tick{});
}

Dispatcher::~Dispatcher() { Mailboxes_.Dispatch_.detach(); }

void Dispatcher::onInput(DispatchInput &Input) {
  if (Input.Inspect_) {
    Input.Inspect_(Core_, Statistics_);
    return;
  }
  if (Input.Refused_) {
    Log_.logRefusal(*Input.Refused_, Core_);
    Statistics_.recordRefusal(Input.Refused_->Status_, Input.Refused_->Reason_);
    return;
  }
  holdMessages(Input);
  if (std::holds_alternative<decision::StopRequested>(Input.Event_))
    Callers_.send(DrainCallers{});
  handle(Input.Event_);
}

void Dispatcher::holdMessages(const DispatchInput &Input) {
  if (const auto *Arrived = std::get_if<decision::CallArrived>(&Input.Event_)) {
    Calls_[Arrived->Call_].Request_ = Input.Request_;
    return;
  }
  const auto *Fetched = std::get_if<decision::KeptAnswerFetched>(&Input.Event_);
  if (Fetched && Calls_.contains(Fetched->Call_))
    Calls_[Fetched->Call_].FetchedResponse_ = Input.Response_;
  const auto *Answered = std::get_if<decision::AttemptAnswered>(&Input.Event_);
  if (Answered && CallOfAttempt_.contains(Answered->Attempt_))
    Responses_[Answered->Attempt_] = Input.Response_;
}

void Dispatcher::handle(const decision::Event &Event) {
  // The clock is read for each event: the first event after a pause of the
  // process then shows the gap.
  const framework::Moment Now = framework::readMoment();
  HandlingSince_ = Now.Monotonic_;
  Core_.handle(Now, Event, Actions_);
  for (const decision::Action &Action : Actions_)
    std::visit([this](const auto &Alternative) { execute(Alternative); },
               Action);
  Actions_.clear();
  storeResponses();
  recordEndedCalls();
  eraseEndedCalls();
  scheduleWakeUp();
}

/// Runs after all actions of an event, since `KeepAnswer` may come before or
/// after the action that determines the response.
void Dispatcher::storeResponses() {
  for (const framework::CallId Call : CallsToStore_) {
    const auto Found = Calls_.find(Call);
    if (Found != Calls_.end() && Found->second.Response_)
      State_.StoredResponses_.store(Call, *Found->second.Response_);
  }
  CallsToStore_.clear();
}

void Dispatcher::recordEndedCalls() {
  const std::vector<decision::EndedCall> EndedCalls = Core_.takeEndedCalls();
  logRefusals(EndedCalls);
  if (EndedCalls.empty())
    return;
  const framework::WallTime Now = framework::readMoment().Wall_;
  for (const decision::EndedCall &Call : EndedCalls) {
    Statistics_.record(Call, Now);
    Log_.logCallEnd(Call, requestId(Call.Call_), Core_);
  }
}

/// Logs the refusals of calls that the core did not accept and therefore does
/// not report as ended.
void Dispatcher::logRefusals(const std::vector<decision::EndedCall> &Reported) {
  if (Refusals_.empty())
    return;
  std::unordered_set<framework::CallId> ReportedCalls;
  for (const decision::EndedCall &Call : Reported)
    ReportedCalls.insert(Call.Call_);
  for (const decision::RefuseCall &Refusal : Refusals_) {
    Statistics_.recordRefusal(statusOf(Refusal.Ending_, Refusal.Reason_),
                              calls::nameOf(Refusal.Reason_));
    if (!ReportedCalls.contains(Refusal.Call_))
      Log_.logRefusal(Refusal, requestId(Refusal.Call_), Core_);
  }
  Refusals_.clear();
}

void Dispatcher::eraseEndedCalls() {
  for (const framework::CallId Call : EndedCalls_) {
    const auto Found = Calls_.find(Call);
    if (Found == Calls_.end())
      continue;
    for (const framework::AttemptId Attempt : Found->second.Attempts_) {
      CallOfAttempt_.erase(Attempt);
      Responses_.erase(Attempt);
    }
    Calls_.erase(Found);
  }
  EndedCalls_.clear();
}

void Dispatcher::scheduleWakeUp() {
  const Instant WakeUpTime = Core_.nextWakeUp();
  if (WakeUpTime >= TimerExpiry_)
    return;
  TimerExpiry_ = WakeUpTime;
  const Instant Now = framework::readMoment().Monotonic_;
  Timer_.expires_after(std::max(WakeUpTime - Now, framework::Duration::zero()));
  Timer_.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      onTimer();
  });
}

void Dispatcher::onTimer() {
  TimerExpiry_ = Instant::max();
  if (Core_.nextWakeUp() > framework::readMoment().Monotonic_) {
    scheduleWakeUp();
    return;
  }
  handle(decision::Tick{});
}

void Dispatcher::execute(const decision::AnswerCall &Action) {
  const auto Found = Responses_.find(Action.Attempt_);
  if (Found == Responses_.end()) {
    refuseMissingResponse(Action.Call_);
    return;
  }
  Callers_.send(SendResponse{Action.Call_, Found->second});
  Calls_[Action.Call_].Response_ = Found->second;
  EndedCalls_.push_back(Action.Call_);
}

void Dispatcher::refuseMissingResponse(framework::CallId Call) {
  execute(decision::RefuseCall{Call, calls::Ending::Unknown,
                               calls::EndingReason::KeyAnswerGone,
                               framework::Duration::zero()});
}

void Dispatcher::execute(const decision::RefuseCall &Action) {
  Callers_.send(Action);
  Refusals_.push_back(Action);
  EndedCalls_.push_back(Action.Call_);
}

void Dispatcher::execute(const decision::SendAttempt &Action) {
  const auto Found = Calls_.find(Action.Call_);
  if (Found == Calls_.end())
    return;
  Found->second.Attempts_.push_back(Action.Attempt_);
  CallOfAttempt_.emplace(Action.Attempt_, Action.Call_);
  if (Log_.isRequestLogEnabled())
    RequestIds_.emplace(Action.Attempt_, requestId(Action.Call_));
  Targets_.send(SendRequest{Action, Found->second.Request_});
}

void Dispatcher::execute(const decision::OpenConnection &Action) {
  Targets_.send(Action);
}

void Dispatcher::execute(const decision::CloseConnection &Action) {
  Targets_.send(Action);
}

void Dispatcher::execute(const decision::ProbeTarget &Action) {
  Targets_.send(Action);
}

void Dispatcher::execute(const decision::ReadDocument &Action) {
  Platform_.send(Action);
}

void Dispatcher::execute(const decision::ReadInstances &Action) {
  Platform_.send(Action);
}

void Dispatcher::execute(const decision::ReadRecords &Action) {
  Records_.send(Action);
}

void Dispatcher::execute(const decision::SetReadiness &Action) {
  State_.IsReady_.store(Action.IsReady_);
}

void Dispatcher::execute(const decision::FinishStop &) {
  Callers_.send(CloseCallers{});
}

void Dispatcher::execute(const decision::KeepAnswer &Action) {
  CallsToStore_.push_back(Action.Call_);
}

void Dispatcher::execute(const decision::DropKeptAnswer &Action) {
  State_.StoredResponses_.drop(Action.Call_);
}

void Dispatcher::execute(const decision::FetchKeptAnswer &Action) {
  StoredResponseFetches_.send(Action);
}

void Dispatcher::execute(const decision::ReplayKeptAnswer &Action) {
  const auto Found = Calls_.find(Action.Call_);
  if (Found == Calls_.end() || !Found->second.FetchedResponse_) {
    refuseMissingResponse(Action.Call_);
    return;
  }
  Callers_.send(SendResponse{Action.Call_, Found->second.FetchedResponse_});
  EndedCalls_.push_back(Action.Call_);
}

void Dispatcher::execute(const decision::SendPeerMessage &Action) {
  PeerCommand Command = Action;
  // Dropped when the mailbox is full: the protocol tolerates lost messages.
  Mailboxes_.Peers_.tryPush(Command);
}

void Dispatcher::execute(const decision::FetchSections &Action) {
  SectionFetches_.send(Action);
}

void Dispatcher::execute(const decision::ServeSections &Action) {
  State_.Sections_.complete(Action.Request_, Action.Reply_);
}

void Dispatcher::execute(const decision::ReportAttempt &Action) {
  Log_.log(Action, requestId(Action.Call_));
}

void Dispatcher::execute(const decision::ReportAttemptEnd &Action) {
  const auto Sent = RequestIds_.extract(Action.Attempt_);
  Log_.log(Action, Sent ? Sent.mapped() : requestId(Action.Call_), Core_);
}

std::string_view Dispatcher::requestId(framework::CallId Call) const {
  const auto Found = Calls_.find(Call);
  if (Found == Calls_.end() || !Found->second.Request_)
    return {};
  return Found->second.Request_->AttemptId_;
}

void Dispatcher::execute(const decision::ReportChange &Action) {
  if (Action.Kind_ != decision::ChangeKind::DocumentInForce) {
    Log_.log(Action, Core_);
    return;
  }
  decision::ReportChange Timed = Action;
  Timed.Elapsed_ = framework::readMoment().Monotonic_ - HandlingSince_;
  Log_.log(Timed, Core_);
  const document::EnvironmentDocument *Document = Core_.document();
  Statistics_.setObjectives(Document);
  State_.HasWorkspaces_.store(Document && !Document->Workspaces_.empty());
  if (Document && Document->CallerLimits_)
    State_.CallerLimits_.set(*Document->CallerLimits_);
}

} // namespace cranberryspool::entry
