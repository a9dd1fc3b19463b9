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

void RandomWorld::tell(const Event &Input) {
  if (const auto *Document = std::get_if<DocumentPublished>(&Input))
    SeenDocument_ = std::max(SeenDocument_, Document->Revision_.value());
  if (const auto *List = std::get_if<InstancesPublished>(&Input))
    SeenList_ = std::max(SeenList_, List->Revision_.value());
  if (const auto *Opened = std::get_if<ConnectionOpened>(&Input)) {
    const auto Known = Connections_.find(Opened->Connection_);
    if (Known != Connections_.end())
      Known->second.IsOpen_ = true;
  }
  if (const auto *Closed = std::get_if<ConnectionClosed>(&Input))
    Connections_.erase(Closed->Connection_);
  ActionList Output;
  Core_.handle(Now_, Input, Output);
  for (const Action &Asked : Output)
    see(Asked);
}

void RandomWorld::pass(Duration Time) {
  const framework::Instant End = Now_.Monotonic_ + Time;
  while (true) {
    const framework::Instant Wake = Core_.nextWakeUp();
    const bool IsReply =
        !Scheduled_.empty() && Scheduled_.begin()->first <= Wake;
    const framework::Instant Next = IsReply ? Scheduled_.begin()->first : Wake;
    if (Next > End)
      break;
    moveTo(std::max(Now_.Monotonic_, Next));
    if (IsReply) {
      tell(Scheduled_.extract(Scheduled_.begin()).mapped());
    } else {
      tell(Tick{});
      check(Core_.nextWakeUp() > Now_.Monotonic_,
            "a tick does all that is due");
      if (!Faults_.empty())
        return;
    }
  }
  moveTo(End);
}

void RandomWorld::moveTo(framework::Instant When) {
  Now_.Wall_ += When - Now_.Monotonic_;
  Now_.Monotonic_ = When;
}

void RandomWorld::schedule(Duration Delay, Event Reply) {
  Scheduled_.emplace(Now_.Monotonic_ + Delay, std::move(Reply));
}

void RandomWorld::check(bool IsRight, const std::string &Rule) {
  if (IsRight)
    return;
  const auto Time = Now_.Monotonic_.time_since_epoch().count();
  Faults_.push_back(Rule + " (at " + std::to_string(Time) + " us)");
}

void RandomWorld::see(const Action &Asked) {
  std::visit([&](const auto &Kind) { take(Kind); }, Asked);
}

void RandomWorld::take(const OpenConnection &Asked) {
  Connections_[Asked.Connection_] =
      WorldConnection{.Target_ = Asked.Target_, .Address_ = Asked.Address_};
  const auto Open = std::count_if(
      Connections_.begin(), Connections_.end(),
      [&](const auto &Known) { return Known.second.Target_ == Asked.Target_; });
  check(Open <= ConnectionShare, "the share of connections is kept");
  if (chance(0.9))
    schedule(milliseconds(1),
             ConnectionOpened{Asked.Connection_, milliseconds(1)});
  else if (chance(0.5))
    schedule(milliseconds(1), ConnectionClosed{Asked.Connection_});
}

void RandomWorld::take(const CloseConnection &Asked) {
  const auto Known = Connections_.find(Asked.Connection_);
  if (Known == Connections_.end())
    return;
  if (Known->second.Carries_)
    Attempts_[*Known->second.Carries_].IsOver_ = true;
  Connections_.erase(Known);
}

void RandomWorld::take(const SendAttempt &Asked) {
  const auto Conn = Connections_.find(Asked.Connection_);
  check(Conn != Connections_.end(), "attempts go on connections that exist");
  if (Conn == Connections_.end())
    return;
  check(Conn->second.IsOpen_, "attempts go on connections that are open");
  check(!Conn->second.Carries_, "a connection carries one attempt");
  check(Conn->second.Target_ == Asked.Target_, "the target is the chosen one");
  check(takesWork(Conn->second.Address_), "what is leaving gets no new work");
  Conn->second.Carries_ = Asked.Attempt_;
  WorldCall &Owner = Calls_[Asked.Call_];
  check(!Owner.HasEnded_, "nothing is sent for an ended call");
  check(Asked.Timeout_ > Duration::zero(), "time is left for an attempt");
  for (const framework::AttemptId Id : Owner.Attempts_)
    check(Owner.IsIdempotent_ || !Attempts_[Id].MayHaveRun_,
          "what must not run twice is not sent again");
  Owner.Attempts_.push_back(Asked.Attempt_);
  Attempts_[Asked.Attempt_] = WorldAttempt{.Sent_ = Asked};
  const auto InFlight =
      std::count_if(Attempts_.begin(), Attempts_.end(), [&](const auto &Known) {
        return !Known.second.IsOver_ &&
               Known.second.Sent_.Target_ == Asked.Target_;
      });
  check(InFlight <= Slots, "a target gets no more than its slots");
}

void RandomWorld::take(const AnswerCall &Asked) {
  const WorldAttempt &Known = Attempts_[Asked.Attempt_];
  check(Known.Sent_.Call_ == Asked.Call_, "the answer is the caller's own");
  check(Known.WasAnsweredWhole_, "the answer is whole and not crossed");
  endCall(Asked.Call_);
}

void RandomWorld::take(const RefuseCall &Asked) {
  endCall(Asked.Call_);
  if (Asked.Ending_ == calls::Ending::Unknown)
    return;
  for (const framework::AttemptId Id : Calls_[Asked.Call_].Attempts_)
    check(!Attempts_[Id].MayHaveRun_, "a call said not to have run did not");
}

void RandomWorld::take(const ReplayKeptAnswer &Asked) {
  check(Replayable_.contains(Asked.Call_), "only fetched answers are replayed");
  endCall(Asked.Call_);
}

void RandomWorld::take(const FetchKeptAnswer &Asked) {
  const bool IsFound = chance(0.7);
  if (IsFound)
    Replayable_.insert(Asked.Call_);
  schedule(milliseconds(2), KeptAnswerFetched{Asked.Call_, IsFound});
}

void RandomWorld::endCall(framework::CallId Id) {
  check(Calls_.contains(Id), "only calls end");
  check(!Calls_[Id].HasEnded_, "a call ends once");
  Calls_[Id].HasEnded_ = true;
}

void RandomWorld::take(const ReadDocument &Asked) {
  if (IsPlatformDown_)
    schedule(milliseconds(1), DocumentUnavailable{});
  else if (Asked.NewerThan_ && Asked.NewerThan_->value() >= DocumentRevision_)
    schedule(std::max<Duration>(Asked.Wait_, milliseconds(1)),
             DocumentUnchanged{});
  else
    schedule(milliseconds(1),
             DocumentPublished{framework::Revision(DocumentRevision_),
                               documentText(DocumentRevision_)});
}

void RandomWorld::take(const ReadInstances &Asked) {
  if (IsPlatformDown_)
    schedule(milliseconds(1), InstancesUnavailable{});
  else if (Asked.NewerThan_ && Asked.NewerThan_->value() >= ListRevision_)
    schedule(std::max<Duration>(Asked.Wait_, milliseconds(1)),
             InstancesUnchanged{});
  else
    schedule(milliseconds(1),
             InstancesPublished{framework::Revision(ListRevision_),
                                list(ListRevision_)});
}

void RandomWorld::take(const ProbeTarget &Asked) {
  if (chance(0.9))
    schedule(milliseconds(6),
             ProbeAnswered{.Probe_ = Asked.Probe_,
                           .Report_ = {},
                           .StartId_ = framework::Incarnation(1),
                           .RoundTrip_ = milliseconds(6)});
  else
    schedule(milliseconds(100), ProbeFailed{Asked.Probe_});
}

void RandomWorld::take(const FinishStop &) {
  check(!IsStopped_, "a stop comes to its end once");
  IsStopped_ = true;
  for (const auto &[Id, Known] : Calls_)
    check(Known.HasEnded_, "a stop waits for every call");
}

bool RandomWorld::takesWork(const std::string &Address) const {
  for (std::uint32_t Target = 0; Target < Targets; ++Target)
    if (addressOf(Target) == Address)
      return !isLeaving(SeenList_, Target) &&
             !(isZoneOut(SeenDocument_) && zoneOf(Target) == "lekki");
  return false;
}

std::string RandomWorld::documentText(std::uint64_t Revision) const {
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
RandomWorld::list(std::uint64_t Revision) const {
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
