#include "decision/core.h"
#include "document/types/environmentdocument.h"

#include <catch2/catch.hpp>

#include <map>
#include <optional>

using namespace cranberryspool;
using namespace cranberryspool::decision;
using framework::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

document::EnvironmentDocument makeDocument() {
  document::EnvironmentDocument Document;
  for (const char *Name : {"s1", "s2"}) {
    document::Service Service;
    Service.Name_ = framework::ServiceName(Name);
    Service.ConnectionsPerTarget_ = 100;
    Service.ColdStart_.Warmup_ = seconds(3);
    Service.ColdStart_.MaxRequestsPerSecond_ = 8;
    Document.Services_.push_back(Service);
  }
  document::Route Route;
  Route.Host_ = "h.example";
  Route.Timeout_ = milliseconds(800);
  Route.LatencyObjective_ = milliseconds(300);
  Route.MaxAttempts_ = 2;
  Route.Name_ = framework::KindName("look-up");
  Route.PathPrefix_ = "/a/";
  Route.IsIdempotent_ = true;
  Route.WeightedServices_ = {{framework::ServiceName("s1"), 1}};
  Document.Routes_.push_back(Route);
  Route.Name_ = framework::KindName("issue");
  Route.PathPrefix_ = "/b/";
  Route.IsIdempotent_ = false;
  Document.Routes_.push_back(Route);
  Route.Name_ = framework::KindName("split");
  Route.PathPrefix_ = "/c/";
  Route.WeightedServices_ = {{framework::ServiceName("s1"), 3},
                             {framework::ServiceName("s2"), 1}};
  Document.Routes_.push_back(Route);
  return Document;
}

fleet::PublishedItem decode(const std::string &Key, const std::string &) {
  if (Key == "c")
    return fleet::PublishedConfiguration{
        1, std::make_shared<document::EnvironmentDocument>(makeDocument())};
  fleet::PublishedTarget Target;
  Target.Name_ = framework::TargetName(Key);
  Target.Service_ = framework::ServiceName(Key.substr(0, 2));
  Target.Zone_ = framework::ZoneName("a");
  Target.Address_ = "127.0.0.1:1";
  Target.Slots_ = 3;
  return Target;
}

/// A core that reads targets from a metadata store. Requested connections open
/// automatically.
struct StoreFixture {
  Core Core_;
  framework::Moment Now_{framework::Instant(seconds(100)),
                         framework::WallTime(seconds(1'000'000))};
  std::multimap<framework::Instant, Event> PendingEvents_;

  static CoreSettings settings() {
    CoreSettings Settings;
    Settings.Self_ = framework::InstanceName("entry-1");
    Settings.Incarnation_ = framework::Incarnation(5);
    Settings.Zone_ = framework::ZoneName("a");
    Settings.PeerAddress_ = "127.0.0.1:7000";
    Settings.Seeds_ =
        fleet::SeedSettings{.Addresses_ = {}, .Decode_ = decode, .Bounds_ = {}};
    Settings.Seeds_->Bounds_.RetryRatio_ = 1;
    Settings.Seeds_->Bounds_.RetrySlack_ = 100;
    return Settings;
  }

  StoreFixture() : Core_(settings(), framework::Random(3)) {
    deliver(Tick{});
    RecordsRead Read;
    Read.AsOf_ = framework::Revision(5);
    for (const char *Key : {"c", "s1-1", "s1-2", "s1-3", "s2-1"})
      Read.Records_.push_back({Key, "", framework::Revision(5), false});
    deliver(Read);
  }

  ActionList deliver(const Event &Input) {
    ActionList All;
    Core_.handle(Now_, Input, All);
    for (const Action &Each : ActionList(All))
      if (const auto *Open = std::get_if<OpenConnection>(&Each)) {
        ConnectionOpened Opened;
        Opened.Connection_ = Open->Connection_;
        PendingEvents_.emplace(Now_.Monotonic_ + milliseconds(1), Opened);
      }
    return All;
  }

  ActionList pass(Duration Time) {
    ActionList All;
    const framework::Instant End = Now_.Monotonic_ + Time;
    while (Now_.Monotonic_ < End) {
      framework::Instant Next = std::min(End, Core_.nextWakeUp());
      if (!PendingEvents_.empty())
        Next = std::min(Next, PendingEvents_.begin()->first);
      Now_.Monotonic_ = std::max(Next, Now_.Monotonic_ + Duration(1));
      Event Input = Tick{};
      if (!PendingEvents_.empty() &&
          PendingEvents_.begin()->first <= Now_.Monotonic_) {
        Input = PendingEvents_.begin()->second;
        PendingEvents_.erase(PendingEvents_.begin());
      }
      const ActionList Actions = deliver(Input);
      All.insert(All.end(), Actions.begin(), Actions.end());
    }
    return All;
  }

  ActionList sendCall(std::uint64_t Id, const std::string &Path,
                      Duration Timeout = seconds(2)) {
    CallArrived Arrived;
    Arrived.Call_ = framework::CallId(Id);
    Arrived.Method_ = "GET";
    Arrived.Host_ = "h.example";
    Arrived.Path_ = Path;
    Arrived.Timeout_ = Timeout;
    ActionList All = deliver(Arrived);
    const ActionList Later = pass(milliseconds(3));
    All.insert(All.end(), Later.begin(), Later.end());
    return All;
  }

  void answerProbes(framework::TargetId Target, std::uint32_t Slowdown) {
    for (const Action &Each : pass(milliseconds(110)))
      if (const auto *Probe = std::get_if<ProbeTarget>(&Each)) {
        ProbeAnswered Answered;
        Answered.Probe_ = Probe->Probe_;
        Answered.Report_.Slots_ = 3;
        Answered.Report_.SlowdownPercent_ =
            Probe->Target_ == Target ? Slowdown : 100;
        Answered.Report_.WarmupLeft_ = Duration{};
        deliver(Answered);
      }
  }
};

template <typename Kind>
std::vector<Kind> actionsOf(const ActionList &Actions) {
  std::vector<Kind> Found;
  for (const Action &Each : Actions)
    if (const auto *Match = std::get_if<Kind>(&Each))
      Found.push_back(*Match);
  return Found;
}

AttemptFailed makeReset(const SendAttempt &Sent) {
  AttemptFailed Failed;
  Failed.Attempt_ = Sent.Attempt_;
  Failed.Connection_ = Sent.Connection_;
  Failed.Failure_ = calls::AttemptFailure::ConnectionReset;
  return Failed;
}

} // namespace

TEST_CASE("an instance serves calls after its first read of the metadata store",
          "[routes]") {
  StoreFixture Fixture;
  const auto Sent = actionsOf<SendAttempt>(Fixture.sendCall(1, "/a/x"));
  REQUIRE(Sent.size() == 1);
  CHECK(Sent[0].TargetName_.value().starts_with("s1-"));
}

TEST_CASE("the route's timeout limits the caller's timeout", "[routes]") {
  StoreFixture Fixture;
  const auto Sent = actionsOf<SendAttempt>(Fixture.sendCall(1, "/a/x"));
  CHECK(Sent.at(0).Timeout_ <= milliseconds(800));
  const auto Ended = actionsOf<RefuseCall>(Fixture.pass(milliseconds(810)));
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Reason_ == calls::EndingReason::DeadlinePassed);
}

TEST_CASE("a path without a route is rejected only with a fresh view",
          "[routes]") {
  StoreFixture Fixture;
  // The first read may return stale records.
  auto Ended = actionsOf<RefuseCall>(Fixture.sendCall(1, "/none/"));
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Reason_ == calls::EndingReason::ViewTooOld);
  Fixture.deliver(RecordsChanged{{}, framework::Revision(5)});
  Ended = actionsOf<RefuseCall>(Fixture.sendCall(2, "/none/"));
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Reason_ == calls::EndingReason::NoSuchKind);
  Fixture.pass(seconds(3));
  Ended = actionsOf<RefuseCall>(Fixture.sendCall(3, "/none/"));
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Reason_ == calls::EndingReason::ViewTooOld);
}

TEST_CASE("a call is sent to no more targets than its route allows",
          "[routes]") {
  StoreFixture Fixture;
  auto Sent = actionsOf<SendAttempt>(Fixture.sendCall(1, "/a/x"));
  REQUIRE(Sent.size() == 1);
  ActionList Next = Fixture.deliver(makeReset(Sent[0]));
  ActionList Later = Fixture.pass(milliseconds(5));
  Next.insert(Next.end(), Later.begin(), Later.end());
  Sent = actionsOf<SendAttempt>(Next);
  REQUIRE(Sent.size() == 1);
  Next = Fixture.deliver(makeReset(Sent[0]));
  CHECK(actionsOf<RefuseCall>(Next).size() == 1);
  CHECK(actionsOf<SendAttempt>(Fixture.pass(milliseconds(100))).empty());
}

TEST_CASE("a non-idempotent call ends as unknown after a connection reset",
          "[routes]") {
  StoreFixture Fixture;
  const auto Sent = actionsOf<SendAttempt>(Fixture.sendCall(1, "/b/x"));
  const auto Ended =
      actionsOf<RefuseCall>(Fixture.deliver(makeReset(Sent.at(0))));
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Ending_ == calls::Ending::Unknown);
}

TEST_CASE("the retry delay of a refusal is within the caller's timeout",
          "[routes]") {
  StoreFixture Fixture;
  RecordsChanged Removed;
  Removed.AsOf_ = framework::Revision(9);
  for (const char *Key : {"s1-1", "s1-2", "s1-3"})
    Removed.Records_.push_back({Key, "", framework::Revision(9), true});
  Fixture.deliver(Removed);
  Fixture.pass(milliseconds(10));
  ActionList All = Fixture.sendCall(1, "/a/x", milliseconds(400));
  const ActionList Later = Fixture.pass(milliseconds(500));
  All.insert(All.end(), Later.begin(), Later.end());
  const auto Ended = actionsOf<RefuseCall>(All);
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].RetryAfter_ <= milliseconds(400) / 3);
}

TEST_CASE("a split route distributes calls by weight", "[routes]") {
  StoreFixture Fixture;
  int First = 0;
  for (std::uint64_t Id = 1; Id <= 400; ++Id) {
    const auto Sent = actionsOf<SendAttempt>(Fixture.sendCall(Id, "/c/x"));
    REQUIRE(Sent.size() == 1);
    First += Sent[0].TargetName_.value().starts_with("s1-") ? 1 : 0;
    AttemptAnswered Answer;
    Answer.Attempt_ = Sent[0].Attempt_;
    Answer.Connection_ = Sent[0].Connection_;
    Answer.EchoedAttempt_ = Sent[0].Attempt_;
    Answer.Status_ = 200;
    Fixture.deliver(Answer);
  }
  CHECK(First > 270);
  CHECK(First < 330);
}

TEST_CASE("an idempotent call is hedged early only at a slow target",
          "[routes]") {
  StoreFixture Fixture;
  // In its first second an instance probes each target only once.
  Fixture.pass(milliseconds(1'100));
  Fixture.answerProbes(framework::TargetId(99), 100);
  const auto Sent = actionsOf<SendAttempt>(Fixture.sendCall(1, "/a/x"));
  REQUIRE(Sent.size() == 1);
  SECTION("slow") {
    Fixture.answerProbes(Sent[0].Target_, 700);
    const auto Hedges = actionsOf<SendAttempt>(Fixture.pass(milliseconds(60)));
    REQUIRE(Hedges.size() == 1);
    CHECK(Hedges[0].Target_ != Sent[0].Target_);
  }
  SECTION("as usual") {
    Fixture.answerProbes(Sent[0].Target_, 100);
    CHECK(actionsOf<SendAttempt>(Fixture.pass(milliseconds(60))).empty());
    // After 65 % of the latency objective the call is hedged in any case.
    CHECK(actionsOf<SendAttempt>(Fixture.pass(milliseconds(100))).size() == 1);
  }
}
