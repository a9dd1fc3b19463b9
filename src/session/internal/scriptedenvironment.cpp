#include "session/scriptedenvironment.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

namespace cranberryspool::session {

namespace {

using framework::Duration;
using framework::Instant;
using std::chrono::milliseconds;

constexpr Duration PlatformLatency = milliseconds(1);
constexpr Duration ConnectLatency = milliseconds(1);
constexpr Duration ProbeLatency = milliseconds(6);
constexpr std::uint32_t StatusOk = 200;
constexpr std::uint32_t StatusServerError = 500;
constexpr std::uint32_t StatusUnavailable = 503;

} // namespace

ScriptedEnvironment::ScriptedEnvironment(EnvironmentSetup Setup)
    : Setup_(std::move(Setup)) {
  Documents_[1] = Setup_.Document_;
}

void ScriptedEnvironment::execute(const decision::Action &Action, Instant Now) {
  std::visit([&](const auto &Alternative) { execute(Alternative, Now); },
             Action);
}

Instant ScriptedEnvironment::nextEventTime() const {
  return ScheduledEvents_.empty() ? Instant::max()
                                  : ScheduledEvents_.begin()->first.first;
}

std::optional<decision::Event> ScriptedEnvironment::takeNextEvent() {
  decision::Event Event =
      std::move(ScheduledEvents_.extract(ScheduledEvents_.begin()).mapped());
  if (const auto *Answered = std::get_if<decision::AttemptAnswered>(&Event)) {
    if (LateAttempts_.erase(Answered->Attempt_) > 0)
      return Event;
    const auto Connection = Connections_.find(Answered->Connection_);
    if (Connection == Connections_.end() || Connection->second.IsSilent_)
      return std::nullopt;
    Connection->second.CurrentAttempt_.reset();
  }
  if (const auto *Failed = std::get_if<decision::AttemptFailed>(&Event))
    if (Connections_.erase(Failed->Connection_) == 0)
      return std::nullopt;
  if (const auto *Closed = std::get_if<decision::ConnectionClosed>(&Event))
    Connections_.erase(Closed->Connection_);
  return Event;
}

void ScriptedEnvironment::resetConnections(const std::string &Name,
                                           Instant Now) {
  for (const auto &[Id, Connection] : Connections_) {
    if (Connection.Target_ != Name)
      continue;
    if (Connection.CurrentAttempt_)
      schedule(Now, decision::AttemptFailed{
                        .Attempt_ = *Connection.CurrentAttempt_,
                        .Connection_ = Id,
                        .Failure_ = calls::AttemptFailure::ConnectionReset});
    else
      schedule(Now, decision::ConnectionClosed{Id});
  }
}

void ScriptedEnvironment::silenceConnections(const std::string &Name) {
  for (auto &[Id, Connection] : Connections_)
    if (Connection.Target_ == Name)
      Connection.IsSilent_ = true;
}

void ScriptedEnvironment::publishDocument(std::string Text) {
  ServedRevision_ = Documents_.rbegin()->first + 1;
  Documents_[ServedRevision_] = std::move(Text);
}

void ScriptedEnvironment::publishInstances(
    std::vector<document::PublishedInstance> Instances) {
  Setup_.Instances_ = std::move(Instances);
  ++InstanceListRevision_;
}

void ScriptedEnvironment::schedule(Instant When, decision::Event Event) {
  ScheduledEvents_.emplace(std::pair(When, ++LastSequence_), std::move(Event));
}

void ScriptedEnvironment::scheduleLateResponse(
    Instant When, framework::AttemptId Attempt,
    framework::ConnectionId Connection) {
  LateAttempts_.insert(Attempt);
  schedule(When, decision::AttemptAnswered{.Attempt_ = Attempt,
                                           .Connection_ = Connection,
                                           .EchoedAttempt_ = Attempt,
                                           .Status_ = StatusOk,
                                           .Report_ = std::nullopt,
                                           .StartId_ = std::nullopt});
}

void ScriptedEnvironment::execute(const decision::OpenConnection &Action,
                                  Instant Now) {
  const std::string Name = instanceNameAt(Action.Address_);
  if (target(Name).Mode_ == TargetMode::Refuse) {
    schedule(Now + ConnectLatency,
             decision::ConnectionClosed{Action.Connection_});
    return;
  }
  Connections_[Action.Connection_].Target_ = Name;
  schedule(Now + ConnectLatency,
           decision::ConnectionOpened{Action.Connection_, ConnectLatency});
}

void ScriptedEnvironment::execute(const decision::CloseConnection &Action,
                                  Instant) {
  Connections_.erase(Action.Connection_);
}

void ScriptedEnvironment::execute(const decision::SendAttempt &Action,
                                  Instant Now) {
  SimulatedConnection &Connection = Connections_[Action.Connection_];
  Connection.CurrentAttempt_ = Action.Attempt_;
  if (!Connection.IsSilent_)
    respond(Action, Now);
}

void ScriptedEnvironment::respond(const decision::SendAttempt &Action,
                                  Instant Now) {
  const ScriptedTarget &Target =
      target(Connections_[Action.Connection_].Target_);
  const Instant When = Now + Target.ResponseTime_;
  decision::AttemptFailed Failure{.Attempt_ = Action.Attempt_,
                                  .Connection_ = Action.Connection_};
  switch (Target.Mode_) {
  case TargetMode::Silent:
    return;
  case TargetMode::Truncate:
    Failure.Failure_ = calls::AttemptFailure::Truncated;
    schedule(When, Failure);
    return;
  case TargetMode::Reset:
    Failure.Failure_ = calls::AttemptFailure::ConnectionReset;
    schedule(When, Failure);
    return;
  default:
    scheduleResponse(Action, Target, When);
  }
}

void ScriptedEnvironment::scheduleResponse(const decision::SendAttempt &Action,
                                           const ScriptedTarget &Target,
                                           Instant When) {
  const bool IsShed =
      Target.Mode_ == TargetMode::Shed || Target.Mode_ == TargetMode::Drain;
  decision::AttemptAnswered Response{
      .Attempt_ = Action.Attempt_,
      .Connection_ = Action.Connection_,
      .EchoedAttempt_ = Action.Attempt_,
      .Status_ = StatusOk,
      .IsNotRun_ = IsShed,
      .Report_ = makeLoadReport(Target),
      .StartId_ = framework::Incarnation(Target.StartId_)};
  if (Target.Mode_ == TargetMode::ServerError)
    Response.Status_ = StatusServerError;
  if (IsShed)
    Response.Status_ = StatusUnavailable;
  if (Target.Mode_ == TargetMode::MismatchedId)
    Response.EchoedAttempt_ =
        framework::AttemptId(Action.Attempt_.value() + 1000);
  schedule(When, Response);
}

void ScriptedEnvironment::execute(const decision::ProbeTarget &Action,
                                  Instant Now) {
  const ScriptedTarget &Target = target(instanceNameAt(Action.Address_));
  if (Target.Mode_ == TargetMode::Silent ||
      Target.Mode_ == TargetMode::Refuse) {
    schedule(Now + ProbeLatency, decision::ProbeFailed{Action.Probe_});
    return;
  }
  schedule(Now + ProbeLatency,
           decision::ProbeAnswered{.Probe_ = Action.Probe_,
                                   .Report_ = makeLoadReport(Target),
                                   .StartId_ =
                                       framework::Incarnation(Target.StartId_),
                                   .RoundTrip_ = ProbeLatency});
}

void ScriptedEnvironment::execute(const decision::ReadDocument &Action,
                                  Instant Now) {
  const bool IsNewer =
      !Action.NewerThan_ || Action.NewerThan_->value() < ServedRevision_;
  if (IsPlatformDown_)
    schedule(Now + PlatformLatency, decision::DocumentUnavailable{});
  else if (IsNewer || Action.NewerThan_->value() > ServedRevision_)
    schedule(Now + PlatformLatency,
             decision::DocumentPublished{framework::Revision(ServedRevision_),
                                         Documents_[ServedRevision_]});
  else
    schedule(Now + std::max(PlatformLatency, Action.Wait_),
             decision::DocumentUnchanged{});
}

void ScriptedEnvironment::execute(const decision::ReadInstances &Action,
                                  Instant Now) {
  if (IsPlatformDown_)
    schedule(Now + PlatformLatency, decision::InstancesUnavailable{});
  else if (!Action.NewerThan_ ||
           Action.NewerThan_->value() < InstanceListRevision_)
    schedule(
        Now + PlatformLatency,
        decision::InstancesPublished{framework::Revision(InstanceListRevision_),
                                     Setup_.Instances_});
  else
    schedule(Now + std::max(PlatformLatency, Action.Wait_),
             decision::InstancesUnchanged{});
}

void ScriptedEnvironment::execute(const decision::FetchSections &Action,
                                  Instant Now) {
  schedule(Now + PlatformLatency,
           decision::SectionsUnavailable{Action.PeerAddress_});
}

std::string
ScriptedEnvironment::instanceNameAt(const std::string &Address) const {
  for (const document::PublishedInstance &Instance : Setup_.Instances_)
    if (Instance.Address_ == Address)
      return Instance.Name_.value();
  return Address;
}

routing::LoadReport
ScriptedEnvironment::makeLoadReport(const ScriptedTarget &Target) const {
  return routing::LoadReport{.Slots_ = 4,
                             .IsCold_ = Target.IsCold_,
                             .IsDraining_ = Target.Mode_ == TargetMode::Drain};
}

} // namespace cranberryspool::session
