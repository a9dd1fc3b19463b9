#include "session/scriptedworld.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

namespace cranberryspool::session {

namespace {

using framework::Duration;
using framework::Instant;
using std::chrono::milliseconds;

constexpr Duration ReadTime = milliseconds(1);
constexpr Duration OpenTime = milliseconds(1);
constexpr Duration ProbeTime = milliseconds(6);
constexpr std::uint32_t StatusOk = 200;
constexpr std::uint32_t StatusFailed = 500;
constexpr std::uint32_t StatusShed = 503;

} // namespace

ScriptedWorld::ScriptedWorld(EnvironmentSetup Setup)
    : Setup_(std::move(Setup)) {
  Documents_[1] = Setup_.Document_;
}

void ScriptedWorld::take(const decision::Action &Asked, Instant Now) {
  std::visit([&](const auto &Kind) { take(Kind, Now); }, Asked);
}

Instant ScriptedWorld::nextReply() const {
  return Replies_.empty() ? Instant::max() : Replies_.begin()->first.first;
}

std::optional<decision::Event> ScriptedWorld::takeReply() {
  decision::Event Event =
      std::move(Replies_.extract(Replies_.begin()).mapped());
  if (const auto *Answered = std::get_if<decision::AttemptAnswered>(&Event)) {
    if (Late_.erase(Answered->Attempt_) > 0)
      return Event;
    const auto Conn = Connections_.find(Answered->Connection_);
    if (Conn == Connections_.end() || Conn->second.IsSilent_)
      return std::nullopt;
    Conn->second.Carries_.reset();
  }
  if (const auto *Failed = std::get_if<decision::AttemptFailed>(&Event))
    if (Connections_.erase(Failed->Connection_) == 0)
      return std::nullopt;
  if (const auto *Closed = std::get_if<decision::ConnectionClosed>(&Event))
    Connections_.erase(Closed->Connection_);
  return Event;
}

void ScriptedWorld::resetConnections(const std::string &Name, Instant Now) {
  for (const auto &[Id, Conn] : Connections_) {
    if (Conn.Target_ != Name)
      continue;
    if (Conn.Carries_)
      schedule(Now, decision::AttemptFailed{
                        .Attempt_ = *Conn.Carries_,
                        .Connection_ = Id,
                        .Failure_ = calls::AttemptFailure::ConnectionReset});
    else
      schedule(Now, decision::ConnectionClosed{Id});
  }
}

void ScriptedWorld::silenceConnections(const std::string &Name) {
  for (auto &[Id, Conn] : Connections_)
    if (Conn.Target_ == Name)
      Conn.IsSilent_ = true;
}

void ScriptedWorld::publishDocument(std::string Text) {
  ServedDocument_ = Documents_.rbegin()->first + 1;
  Documents_[ServedDocument_] = std::move(Text);
}

void ScriptedWorld::publishInstances(
    std::vector<document::PublishedInstance> Instances) {
  Setup_.Instances_ = std::move(Instances);
  ++ListRevision_;
}

void ScriptedWorld::schedule(Instant When, decision::Event Event) {
  Replies_.emplace(std::pair(When, ++LastReply_), std::move(Event));
}

void ScriptedWorld::scheduleLateAnswer(Instant When,
                                       framework::AttemptId Attempt,
                                       framework::ConnectionId Connection) {
  Late_.insert(Attempt);
  schedule(When, decision::AttemptAnswered{.Attempt_ = Attempt,
                                           .Connection_ = Connection,
                                           .EchoedAttempt_ = Attempt,
                                           .Status_ = StatusOk,
                                           .Report_ = std::nullopt,
                                           .StartId_ = std::nullopt});
}

void ScriptedWorld::take(const decision::OpenConnection &Asked, Instant Now) {
  const std::string Name = nameAt(Asked.Address_);
  if (target(Name).Mode_ == TargetMode::Refuse) {
    schedule(Now + OpenTime, decision::ConnectionClosed{Asked.Connection_});
    return;
  }
  Connections_[Asked.Connection_].Target_ = Name;
  schedule(Now + OpenTime,
           decision::ConnectionOpened{Asked.Connection_, OpenTime});
}

void ScriptedWorld::take(const decision::CloseConnection &Asked, Instant) {
  Connections_.erase(Asked.Connection_);
}

void ScriptedWorld::take(const decision::SendAttempt &Asked, Instant Now) {
  OpenedConnection &Conn = Connections_[Asked.Connection_];
  Conn.Carries_ = Asked.Attempt_;
  if (!Conn.IsSilent_)
    answer(Asked, Now);
}

void ScriptedWorld::answer(const decision::SendAttempt &Asked, Instant Now) {
  const ScriptedTarget &By = target(Connections_[Asked.Connection_].Target_);
  const Instant When = Now + By.AnswerTime_;
  decision::AttemptFailed Failure{.Attempt_ = Asked.Attempt_,
                                  .Connection_ = Asked.Connection_};
  switch (By.Mode_) {
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
    answerWhole(Asked, By, When);
  }
}

void ScriptedWorld::answerWhole(const decision::SendAttempt &Asked,
                                const ScriptedTarget &By, Instant When) {
  const bool IsShed =
      By.Mode_ == TargetMode::Shed || By.Mode_ == TargetMode::Drain;
  decision::AttemptAnswered Answer{.Attempt_ = Asked.Attempt_,
                                   .Connection_ = Asked.Connection_,
                                   .EchoedAttempt_ = Asked.Attempt_,
                                   .Status_ = StatusOk,
                                   .IsNotRun_ = IsShed,
                                   .Report_ = report(By),
                                   .StartId_ =
                                       framework::Incarnation(By.StartId_)};
  if (By.Mode_ == TargetMode::Fail)
    Answer.Status_ = StatusFailed;
  if (IsShed)
    Answer.Status_ = StatusShed;
  if (By.Mode_ == TargetMode::Cross)
    Answer.EchoedAttempt_ = framework::AttemptId(Asked.Attempt_.value() + 1000);
  schedule(When, Answer);
}

void ScriptedWorld::take(const decision::ProbeTarget &Asked, Instant Now) {
  const ScriptedTarget &By = target(nameAt(Asked.Address_));
  if (By.Mode_ == TargetMode::Silent || By.Mode_ == TargetMode::Refuse) {
    schedule(Now + ProbeTime, decision::ProbeFailed{Asked.Probe_});
    return;
  }
  schedule(Now + ProbeTime, decision::ProbeAnswered{
                                .Probe_ = Asked.Probe_,
                                .Report_ = report(By),
                                .StartId_ = framework::Incarnation(By.StartId_),
                                .RoundTrip_ = ProbeTime});
}

void ScriptedWorld::take(const decision::ReadDocument &Asked, Instant Now) {
  const bool IsNewer =
      !Asked.NewerThan_ || Asked.NewerThan_->value() < ServedDocument_;
  if (IsPlatformDown_)
    schedule(Now + ReadTime, decision::DocumentUnavailable{});
  else if (IsNewer || Asked.NewerThan_->value() > ServedDocument_)
    schedule(Now + ReadTime,
             decision::DocumentPublished{framework::Revision(ServedDocument_),
                                         Documents_[ServedDocument_]});
  else
    schedule(Now + std::max(ReadTime, Asked.Wait_),
             decision::DocumentUnchanged{});
}

void ScriptedWorld::take(const decision::ReadInstances &Asked, Instant Now) {
  if (IsPlatformDown_)
    schedule(Now + ReadTime, decision::InstancesUnavailable{});
  else if (!Asked.NewerThan_ || Asked.NewerThan_->value() < ListRevision_)
    schedule(Now + ReadTime,
             decision::InstancesPublished{framework::Revision(ListRevision_),
                                          Setup_.Instances_});
  else
    schedule(Now + std::max(ReadTime, Asked.Wait_),
             decision::InstancesUnchanged{});
}

void ScriptedWorld::take(const decision::FetchSections &Asked, Instant Now) {
  schedule(Now + ReadTime, decision::SectionsUnavailable{Asked.PeerAddress_});
}

std::string ScriptedWorld::nameAt(const std::string &Address) const {
  for (const document::PublishedInstance &Instance : Setup_.Instances_)
    if (Instance.Address_ == Address)
      return Instance.Name_.value();
  return Address;
}

routing::LoadReport ScriptedWorld::report(const ScriptedTarget &Of) const {
  return routing::LoadReport{.Slots_ = 4,
                             .IsCold_ = Of.IsCold_,
                             .IsDraining_ = Of.Mode_ == TargetMode::Drain};
}

} // namespace cranberryspool::session
