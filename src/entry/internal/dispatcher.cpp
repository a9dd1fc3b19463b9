#include "entry/internal/dispatcher.h"

#include "framework/runtime/clocks.h"

namespace cranberryspool::entry {

using framework::Instant;

Dispatcher::Dispatcher(boost::asio::io_context &Io, decision::Core Core,
                       Mailboxes &Rings, InstanceState &Shared,
                       const DecisionLog &Log)
    : Core_(std::move(Core)), Rings_(Rings), Shared_(Shared), Log_(Log),
      Callers_(Io, Rings.Callers_), Targets_(Io, Rings.Targets_),
      Platform_(Io, Rings.Platform_), Records_(Io, Rings.Records_),
      SectionFetches_(Io, Rings.SectionFetches_),
      AnswerFetches_(Io, Rings.AnswerFetches_), Timer_(Io) {
  Rings_.Dispatch_.attach(Io, [this](DispatchInput &Input) { onInput(Input); });
  handle(decision::Tick{});
}

Dispatcher::~Dispatcher() { Rings_.Dispatch_.detach(); }

void Dispatcher::onInput(DispatchInput &Input) {
  if (Input.Inspect_) {
    Input.Inspect_(Core_, Statistics_);
    return;
  }
  keep(Input);
  if (std::holds_alternative<decision::StopRequested>(Input.Event_))
    Callers_.send(WindDownCallers{});
  handle(Input.Event_);
}

void Dispatcher::keep(const DispatchInput &Input) {
  if (const auto *Arrived = std::get_if<decision::CallArrived>(&Input.Event_)) {
    Calls_[Arrived->Call_].Request_ = Input.Request_;
    return;
  }
  const auto *Fetched = std::get_if<decision::KeptAnswerFetched>(&Input.Event_);
  if (Fetched && Calls_.contains(Fetched->Call_))
    Calls_[Fetched->Call_].Fetched_ = Input.Answer_;
  const auto *Answered = std::get_if<decision::AttemptAnswered>(&Input.Event_);
  if (Answered && CallOfAttempt_.contains(Answered->Attempt_))
    Answers_[Answered->Attempt_] = Input.Answer_;
}

void Dispatcher::handle(const decision::Event &Event) {
  // Read for each event: after a pause the first one shows the gap.
  Core_.handle(framework::readMoment(), Event, Actions_);
  for (const decision::Action &Next : Actions_)
    std::visit([this](const auto &One) { carryOut(One); }, Next);
  Actions_.clear();
  keepAnswers();
  countEnded();
  forgetEnded();
  wakeUpInTime();
}

/// Done after all actions of an event, since the order to keep an answer may
/// stand before or after the order to give it.
void Dispatcher::keepAnswers() {
  for (const framework::CallId Call : ToKeep_) {
    const auto Position = Calls_.find(Call);
    if (Position != Calls_.end() && Position->second.Given_)
      Shared_.KeptAnswers_.keep(Call, *Position->second.Given_);
  }
  ToKeep_.clear();
}

void Dispatcher::countEnded() {
  const std::vector<decision::EndedCall> Ended = Core_.takeEndedCalls();
  if (Ended.empty())
    return;
  const framework::WallTime Now = framework::readMoment().Wall_;
  for (const decision::EndedCall &Call : Ended) {
    Statistics_.note(Call, Now);
    Log_.noteEnded(Call, requestId(Call.Call_), Core_);
  }
}

void Dispatcher::forgetEnded() {
  for (const framework::CallId Call : Ended_) {
    const auto Position = Calls_.find(Call);
    if (Position == Calls_.end())
      continue;
    for (const framework::AttemptId Attempt : Position->second.Attempts_) {
      CallOfAttempt_.erase(Attempt);
      Answers_.erase(Attempt);
    }
    Calls_.erase(Position);
  }
  Ended_.clear();
}

void Dispatcher::wakeUpInTime() {
  const Instant Due = Core_.nextWakeUp();
  if (Due >= TimerDue_)
    return;
  TimerDue_ = Due;
  const Instant Now = framework::readMoment().Monotonic_;
  Timer_.expires_after(std::max(Due - Now, framework::Duration::zero()));
  Timer_.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      onTimer();
  });
}

void Dispatcher::onTimer() {
  TimerDue_ = Instant::max();
  if (Core_.nextWakeUp() > framework::readMoment().Monotonic_) {
    wakeUpInTime();
    return;
  }
  handle(decision::Tick{});
}

void Dispatcher::carryOut(const decision::AnswerCall &Action) {
  const auto Position = Answers_.find(Action.Attempt_);
  if (Position == Answers_.end()) {
    refuseWithoutAnswer(Action.Call_);
    return;
  }
  Callers_.send(GiveAnswer{Action.Call_, Position->second});
  Calls_[Action.Call_].Given_ = Position->second;
  Ended_.push_back(Action.Call_);
}

void Dispatcher::refuseWithoutAnswer(framework::CallId Call) {
  carryOut(decision::RefuseCall{Call, calls::Ending::Unknown,
                                calls::EndingReason::KeyAnswerGone,
                                framework::Duration::zero()});
}

void Dispatcher::carryOut(const decision::RefuseCall &Action) {
  Callers_.send(Action);
  Ended_.push_back(Action.Call_);
}

void Dispatcher::carryOut(const decision::SendAttempt &Action) {
  const auto Position = Calls_.find(Action.Call_);
  if (Position == Calls_.end())
    return;
  Position->second.Attempts_.push_back(Action.Attempt_);
  CallOfAttempt_.emplace(Action.Attempt_, Action.Call_);
  Targets_.send(SendRequest{Action, Position->second.Request_});
}

void Dispatcher::carryOut(const decision::OpenConnection &Action) {
  Targets_.send(Action);
}

void Dispatcher::carryOut(const decision::CloseConnection &Action) {
  Targets_.send(Action);
}

void Dispatcher::carryOut(const decision::ProbeTarget &Action) {
  Targets_.send(Action);
}

void Dispatcher::carryOut(const decision::ReadDocument &Action) {
  Platform_.send(Action);
}

void Dispatcher::carryOut(const decision::ReadInstances &Action) {
  Platform_.send(Action);
}

void Dispatcher::carryOut(const decision::ReadRecords &Action) {
  Records_.send(Action);
}

void Dispatcher::carryOut(const decision::SetReadiness &Action) {
  Shared_.IsReady_.store(Action.IsReady_);
}

void Dispatcher::carryOut(const decision::FinishStop &) {
  Callers_.send(FinishCallers{});
}

void Dispatcher::carryOut(const decision::KeepAnswer &Action) {
  ToKeep_.push_back(Action.Call_);
}

void Dispatcher::carryOut(const decision::DropKeptAnswer &Action) {
  Shared_.KeptAnswers_.drop(Action.Call_);
}

void Dispatcher::carryOut(const decision::FetchKeptAnswer &Action) {
  AnswerFetches_.send(Action);
}

void Dispatcher::carryOut(const decision::ReplayKeptAnswer &Action) {
  const auto Position = Calls_.find(Action.Call_);
  if (Position == Calls_.end() || !Position->second.Fetched_) {
    refuseWithoutAnswer(Action.Call_);
    return;
  }
  Callers_.send(GiveAnswer{Action.Call_, Position->second.Fetched_});
  Ended_.push_back(Action.Call_);
}

void Dispatcher::carryOut(const decision::SendPeerMessage &Action) {
  PeerCommand Command = Action;
  // Dropped when the ring is full: messages may be lost on the way as well.
  Rings_.Peers_.tryPush(Command);
}

void Dispatcher::carryOut(const decision::FetchSections &Action) {
  SectionFetches_.send(Action);
}

void Dispatcher::carryOut(const decision::ServeSections &Action) {
  Shared_.Sections_.answer(Action.Request_, Action.Reply_);
}

void Dispatcher::carryOut(const decision::ReportAttempt &Action) {
  Log_.note(Action, requestId(Action.Call_));
}

void Dispatcher::carryOut(const decision::ReportAttemptEnd &Action) {
  Log_.note(Action, requestId(Action.Call_));
}

std::string_view Dispatcher::requestId(framework::CallId Call) const {
  const auto Position = Calls_.find(Call);
  if (Position == Calls_.end() || !Position->second.Request_)
    return {};
  return Position->second.Request_->AttemptId_;
}

void Dispatcher::carryOut(const decision::ReportChange &Action) {
  Log_.note(Action.Kind_, Action.Subject_, Core_);
  if (Action.Kind_ != decision::ChangeKind::DocumentInForce)
    return;
  const document::EnvironmentDocument *Document = Core_.document();
  Statistics_.setObjectives(Document);
  if (Document && Document->CallerLimits_)
    Shared_.CallerLimits_.set(*Document->CallerLimits_);
}

} // namespace cranberryspool::entry
