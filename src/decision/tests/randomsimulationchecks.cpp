#include "decision/tests/randomsimulation.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace cranberryspool::decision {

namespace {

using framework::Duration;
using std::chrono::milliseconds;

constexpr std::uint32_t Slots = 4;
constexpr std::uint32_t ConnectionShare = 8;
constexpr std::uint32_t Targets = 3;

bool isZoneOut(std::uint64_t Revision) { return Revision % 3 == 2; }

bool isLeaving(std::uint64_t Revision, std::uint32_t Target) {
  return Revision % 5 == Target + 2;
}

std::string zoneOf(std::uint32_t Target) {
  return Target == 0 ? "ikeja" : "lekki";
}

std::string addressOf(std::uint32_t Target) {
  return "127.0.1." + std::to_string(Target) + ":80";
}

} // namespace

void RandomSimulation::deliver(const Event &Input) {
  if (const auto *Document = std::get_if<DocumentPublished>(&Input))
    DeliveredDocumentRevision_ =
        std::max(DeliveredDocumentRevision_, Document->Revision_.value());
  if (const auto *List = std::get_if<InstancesPublished>(&Input))
    DeliveredListRevision_ =
        std::max(DeliveredListRevision_, List->Revision_.value());
  if (const auto *Opened = std::get_if<ConnectionOpened>(&Input)) {
    const auto Entry = Connections_.find(Opened->Connection_);
    if (Entry != Connections_.end())
      Entry->second.IsOpen_ = true;
  }
  if (const auto *Closed = std::get_if<ConnectionClosed>(&Input))
    Connections_.erase(Closed->Connection_);
  ActionList Output;
  Core_.handle(Now_, Input, Output);
  for (const Action &Each : Output)
    handleAction(Each);
}

void RandomSimulation::pass(Duration Time) {
  const framework::Instant End = Now_.Monotonic_ + Time;
  while (true) {
    const framework::Instant WakeUp = Core_.nextWakeUp();
    const bool IsReply =
        !ScheduledEvents_.empty() && ScheduledEvents_.begin()->first <= WakeUp;
    const framework::Instant Next =
        IsReply ? ScheduledEvents_.begin()->first : WakeUp;
    if (Next > End)
      break;
    advanceClockTo(std::max(Now_.Monotonic_, Next));
    if (IsReply) {
      deliver(ScheduledEvents_.extract(ScheduledEvents_.begin()).mapped());
    } else {
      deliver(Tick{});
      check(Core_.nextWakeUp() > Now_.Monotonic_,
            "a tick performs all work that is due");
      if (!Violations_.empty())
        return;
    }
  }
  advanceClockTo(End);
}

void RandomSimulation::advanceClockTo(framework::Instant When) {
  Now_.Wall_ += When - Now_.Monotonic_;
  Now_.Monotonic_ = When;
}

void RandomSimulation::schedule(Duration Delay, Event Reply) {
  ScheduledEvents_.emplace(Now_.Monotonic_ + Delay, std::move(Reply));
}

void RandomSimulation::check(bool IsSatisfied, const std::string &Rule) {
  if (IsSatisfied)
    return;
  const auto Time = Now_.Monotonic_.time_since_epoch().count();
  Violations_.push_back(Rule + " (at " + std::to_string(Time) + " us)");
}

void RandomSimulation::handleAction(const Action &Each) {
  std::visit([&](const auto &Kind) { handle(Kind); }, Each);
}

void RandomSimulation::handle(const OpenConnection &Action) {
  Connections_[Action.Connection_] = SimulatedConnection{
      .Target_ = Action.Target_, .Address_ = Action.Address_};
  const auto Open = std::count_if(
      Connections_.begin(), Connections_.end(), [&](const auto &Entry) {
        return Entry.second.Target_ == Action.Target_;
      });
  check(Open <= ConnectionShare,
        "the instance's share of connections is not exceeded");
  if (randomChance(0.9))
    schedule(milliseconds(1),
             ConnectionOpened{Action.Connection_, milliseconds(1)});
  else if (randomChance(0.5))
    schedule(milliseconds(1), ConnectionClosed{Action.Connection_});
}

void RandomSimulation::handle(const CloseConnection &Action) {
  const auto Entry = Connections_.find(Action.Connection_);
  if (Entry == Connections_.end())
    return;
  if (Entry->second.CurrentAttempt_)
    Attempts_[*Entry->second.CurrentAttempt_].HasEnded_ = true;
  Connections_.erase(Entry);
}

void RandomSimulation::handle(const SendAttempt &Action) {
  const auto Connection = Connections_.find(Action.Connection_);
  check(Connection != Connections_.end(),
        "attempts are sent only on existing connections");
  if (Connection == Connections_.end())
    return;
  check(Connection->second.IsOpen_,
        "attempts are sent only on open connections");
  check(!Connection->second.CurrentAttempt_,
        "a connection carries at most one attempt");
  check(Connection->second.Target_ == Action.Target_,
        "the connection belongs to the chosen target");
  check(acceptsWork(Connection->second.Address_),
        "a leaving target receives no new attempts");
  Connection->second.CurrentAttempt_ = Action.Attempt_;
  SimulatedCall &Call = Calls_[Action.Call_];
  check(!Call.HasEnded_, "no attempt is sent for an ended call");
  check(Action.Timeout_ > Duration::zero(),
        "an attempt has time left before its deadline");
  for (const framework::AttemptId Id : Call.Attempts_)
    check(Call.IsIdempotent_ || !Attempts_[Id].MayHaveRun_,
          "a non-idempotent request that may have run is not sent again");
  Call.Attempts_.push_back(Action.Attempt_);
  Attempts_[Action.Attempt_] = SimulatedAttempt{.Sent_ = Action};
  const auto InFlight =
      std::count_if(Attempts_.begin(), Attempts_.end(), [&](const auto &Entry) {
        return !Entry.second.HasEnded_ &&
               Entry.second.Sent_.Target_ == Action.Target_;
      });
  check(InFlight <= Slots,
        "a target receives no more attempts than it has slots");
}

void RandomSimulation::handle(const AnswerCall &Action) {
  const SimulatedAttempt &Entry = Attempts_[Action.Attempt_];
  check(Entry.Sent_.Call_ == Action.Call_,
        "the answer belongs to the caller's call");
  check(Entry.HasCompleteAnswer_, "the answer is complete and not mismatched");
  recordCallEnd(Action.Call_);
}

void RandomSimulation::handle(const RefuseCall &Action) {
  recordCallEnd(Action.Call_);
  if (Action.Ending_ == calls::Ending::Unknown)
    return;
  for (const framework::AttemptId Id : Calls_[Action.Call_].Attempts_)
    check(!Attempts_[Id].MayHaveRun_, "a call reported as not run has not run");
}

void RandomSimulation::handle(const ReplayKeptAnswer &Action) {
  check(FetchedAnswers_.contains(Action.Call_),
        "only fetched answers are replayed");
  recordCallEnd(Action.Call_);
}

void RandomSimulation::handle(const FetchKeptAnswer &Action) {
  const bool IsFound = randomChance(0.7);
  if (IsFound)
    FetchedAnswers_.insert(Action.Call_);
  schedule(milliseconds(2), KeptAnswerFetched{Action.Call_, IsFound});
}

void RandomSimulation::recordCallEnd(framework::CallId Id) {
  check(Calls_.contains(Id), "only accepted calls end");
  check(!Calls_[Id].HasEnded_, "a call ends exactly once");
  Calls_[Id].HasEnded_ = true;
}

void RandomSimulation::handle(const ReadDocument &Action) {
  if (IsPlatformDown_)
    schedule(milliseconds(1), DocumentUnavailable{});
  else if (Action.NewerThan_ && Action.NewerThan_->value() >= DocumentRevision_)
    schedule(std::max<Duration>(Action.Wait_, milliseconds(1)),
             DocumentUnchanged{});
  else
    schedule(milliseconds(1),
             DocumentPublished{framework::Revision(DocumentRevision_),
                               documentText(DocumentRevision_)});
}

void RandomSimulation::handle(const ReadInstances &Action) {
  if (IsPlatformDown_)
    schedule(milliseconds(1), InstancesUnavailable{});
  else if (Action.NewerThan_ && Action.NewerThan_->value() >= ListRevision_)
    schedule(std::max<Duration>(Action.Wait_, milliseconds(1)),
             InstancesUnchanged{});
  else
    schedule(milliseconds(1),
             InstancesPublished{framework::Revision(ListRevision_),
                                instanceList(ListRevision_)});
}

void RandomSimulation::handle(const ProbeTarget &Action) {
  if (randomChance(0.9))
    schedule(milliseconds(6),
             ProbeAnswered{.Probe_ = Action.Probe_,
                           .Report_ = {},
                           .StartId_ = framework::Incarnation(1),
                           .RoundTrip_ = milliseconds(6)});
  else
    schedule(milliseconds(100), ProbeFailed{Action.Probe_});
}

void RandomSimulation::handle(const FinishStop &) {
  check(!HasStopped_, "a stop finishes exactly once");
  HasStopped_ = true;
  for (const auto &[Id, Entry] : Calls_)
    check(Entry.HasEnded_, "a stop waits for every call");
}

bool RandomSimulation::acceptsWork(const std::string &Address) const {
  for (std::uint32_t Target = 0; Target < Targets; ++Target)
    if (addressOf(Target) == Address)
      return !isLeaving(DeliveredListRevision_, Target) &&
             !(isZoneOut(DeliveredDocumentRevision_) &&
               zoneOf(Target) == "lekki");
  return false;
}

std::string RandomSimulation::documentText(std::uint64_t Revision) const {
  std::string Text = R"({
    "max-instances": 4,
    "list-lag": "1s",
    "zones": [{"name": "ikeja", "state": "in"},
              {"name": "lekki", "state": "STATE"}],
    "services": [{
      "name": "certdesk",
      "slots-per-target": 4,
      "connections-per-target": 32,
      "probes-per-target-per-minute": 30,
      "cold-start": {"max-in-flight": 1, "warmup": "1s"},
      "groups": [{"name": "certdesk-ikeja", "zone": "ikeja"},
                 {"name": "certdesk-lekki", "zone": "lekki"}],
      "kinds": [
        {"name": "look-up", "method": "GET", "path": "/certificates/*",
         "idempotent": true, "urgency": "urgent", "deadline": "500ms",
         "hedging": true},
        {"name": "issue", "method": "POST", "path": "/certificates",
         "idempotent": false, "urgency": "ordinary", "deadline": "2s"}
      ],
      "objectives": []
    }]
  })";
  return Text.replace(Text.find("STATE"), 5,
                      isZoneOut(Revision) ? "out" : "in");
}

std::vector<document::PublishedInstance>
RandomSimulation::instanceList(std::uint64_t Revision) const {
  std::vector<document::PublishedInstance> All{
      {.Name_ = framework::InstanceName("entry-1"),
       .Group_ = std::nullopt,
       .Zone_ = framework::ZoneName("ikeja"),
       .Address_ = "127.0.0.1:7000"}};
  for (std::uint32_t Target = 0; Target < Targets; ++Target)
    All.push_back(
        {.Name_ = framework::InstanceName("cert-" + std::to_string(Target)),
         .Group_ = framework::GroupName("certdesk-" + zoneOf(Target)),
         .Zone_ = framework::ZoneName(zoneOf(Target)),
         .Address_ = addressOf(Target),
         .IsLeaving_ = isLeaving(Revision, Target)});
  return All;
}

} // namespace cranberryspool::decision
