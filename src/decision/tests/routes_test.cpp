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

/// A core that reads targets from a store; connections open by themselves.
struct World {
  Core Core_;
  framework::Moment Now_{framework::Instant(seconds(100)),
                         framework::WallTime(seconds(1'000'000))};
  std::multimap<framework::Instant, Event> Due_;

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

  World() : Core_(settings(), framework::Random(3)) {
    tell(Tick{});
    RecordsRead Read;
    Read.AsOf_ = framework::Revision(5);
    for (const char *Key : {"c", "s1-1", "s1-2", "s1-3", "s2-1"})
      Read.Records_.push_back({Key, "", framework::Revision(5), false});
    tell(Read);
  }

  ActionList tell(const Event &Input) {
    ActionList All;
    Core_.handle(Now_, Input, All);
    for (const Action &Each : ActionList(All))
      if (const auto *Open = std::get_if<OpenConnection>(&Each)) {
        ConnectionOpened Opened;
        Opened.Connection_ = Open->Connection_;
        Due_.emplace(Now_.Monotonic_ + milliseconds(1), Opened);
      }
    return All;
  }

  ActionList pass(Duration Time) {
    ActionList All;
    const framework::Instant End = Now_.Monotonic_ + Time;
    while (Now_.Monotonic_ < End) {
      framework::Instant Next = std::min(End, Core_.nextWakeUp());
      if (!Due_.empty())
        Next = std::min(Next, Due_.begin()->first);
      Now_.Monotonic_ = std::max(Next, Now_.Monotonic_ + Duration(1));
      Event Input = Tick{};
      if (!Due_.empty() && Due_.begin()->first <= Now_.Monotonic_) {
        Input = Due_.begin()->second;
        Due_.erase(Due_.begin());
      }
      const ActionList Some = tell(Input);
      All.insert(All.end(), Some.begin(), Some.end());
    }
    return All;
  }

  ActionList call(std::uint64_t Id, const std::string &Path,
                  Duration Timeout = seconds(2)) {
    CallArrived Arrived;
    Arrived.Call_ = framework::CallId(Id);
    Arrived.Method_ = "GET";
    Arrived.Host_ = "h.example";
    Arrived.Path_ = Path;
    Arrived.Timeout_ = Timeout;
    ActionList All = tell(Arrived);
    const ActionList Later = pass(milliseconds(3));
    All.insert(All.end(), Later.begin(), Later.end());
    return All;
  }

  void report(framework::TargetId Target, std::uint32_t Slowdown) {
    for (const Action &Each : pass(milliseconds(110)))
      if (const auto *Probe = std::get_if<ProbeTarget>(&Each)) {
        ProbeAnswered Answered;
        Answered.Probe_ = Probe->Probe_;
        Answered.Report_.Slots_ = 3;
        Answered.Report_.SlowdownPercent_ =
            Probe->Target_ == Target ? Slowdown : 100;
        Answered.Report_.WarmupLeft_ = Duration{};
        tell(Answered);
      }
  }
};

template <typename Kind> std::vector<Kind> only(const ActionList &Actions) {
  std::vector<Kind> Found;
  for (const Action &Each : Actions)
    if (const auto *Match = std::get_if<Kind>(&Each))
      Found.push_back(*Match);
  return Found;
}

AttemptFailed reset(const SendAttempt &Sent) {
  AttemptFailed Failed;
  Failed.Attempt_ = Sent.Attempt_;
  Failed.Connection_ = Sent.Connection_;
  Failed.Failure_ = calls::AttemptFailure::ConnectionReset;
  return Failed;
}

} // namespace

TEST_CASE("an instance serves from its first view of the store", "[routes]") {
  World Test;
  const auto Sent = only<SendAttempt>(Test.call(1, "/a/x"));
  REQUIRE(Sent.size() == 1);
  CHECK(Sent[0].TargetName_.value().starts_with("s1-"));
}

TEST_CASE("the route's timeout bounds what the caller asks for", "[routes]") {
  World Test;
  const auto Sent = only<SendAttempt>(Test.call(1, "/a/x"));
  CHECK(Sent.at(0).Timeout_ <= milliseconds(800));
  const auto Ended = only<RefuseCall>(Test.pass(milliseconds(810)));
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Reason_ == calls::EndingReason::DeadlinePassed);
}

TEST_CASE("a path without a route is denied only by a fresh view", "[routes]") {
  World Test;
  // The first list may be as it was a while ago.
  auto Ended = only<RefuseCall>(Test.call(1, "/none/"));
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Reason_ == calls::EndingReason::ViewTooOld);
  Test.tell(RecordsChanged{{}, framework::Revision(5)});
  Ended = only<RefuseCall>(Test.call(2, "/none/"));
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Reason_ == calls::EndingReason::NoSuchKind);
  Test.pass(seconds(3));
  Ended = only<RefuseCall>(Test.call(3, "/none/"));
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Reason_ == calls::EndingReason::ViewTooOld);
}

TEST_CASE("a call is sent to no more targets than its route allows",
          "[routes]") {
  World Test;
  auto Sent = only<SendAttempt>(Test.call(1, "/a/x"));
  REQUIRE(Sent.size() == 1);
  ActionList Next = Test.tell(reset(Sent[0]));
  ActionList Later = Test.pass(milliseconds(5));
  Next.insert(Next.end(), Later.begin(), Later.end());
  Sent = only<SendAttempt>(Next);
  REQUIRE(Sent.size() == 1);
  Next = Test.tell(reset(Sent[0]));
  CHECK(only<RefuseCall>(Next).size() == 1);
  CHECK(only<SendAttempt>(Test.pass(milliseconds(100))).empty());
}

TEST_CASE("a call that must not run twice ends unknown after a reset",
          "[routes]") {
  World Test;
  const auto Sent = only<SendAttempt>(Test.call(1, "/b/x"));
  const auto Ended = only<RefuseCall>(Test.tell(reset(Sent.at(0))));
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Ending_ == calls::Ending::Unknown);
}

TEST_CASE("a refusal asks callers to come back within their time", "[routes]") {
  World Test;
  RecordsChanged Gone;
  Gone.AsOf_ = framework::Revision(9);
  for (const char *Key : {"s1-1", "s1-2", "s1-3"})
    Gone.Records_.push_back({Key, "", framework::Revision(9), true});
  Test.tell(Gone);
  Test.pass(milliseconds(10));
  ActionList All = Test.call(1, "/a/x", milliseconds(400));
  const ActionList Later = Test.pass(milliseconds(500));
  All.insert(All.end(), Later.begin(), Later.end());
  const auto Ended = only<RefuseCall>(All);
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].RetryAfter_ <= milliseconds(400) / 3);
}

TEST_CASE("the parts of a split get their weights", "[routes]") {
  World Test;
  int First = 0;
  for (std::uint64_t Id = 1; Id <= 400; ++Id) {
    const auto Sent = only<SendAttempt>(Test.call(Id, "/c/x"));
    REQUIRE(Sent.size() == 1);
    First += Sent[0].TargetName_.value().starts_with("s1-") ? 1 : 0;
    AttemptAnswered Answer;
    Answer.Attempt_ = Sent[0].Attempt_;
    Answer.Connection_ = Sent[0].Connection_;
    Answer.EchoedAttempt_ = Sent[0].Attempt_;
    Answer.Status_ = 200;
    Test.tell(Answer);
  }
  CHECK(First > 270);
  CHECK(First < 330);
}

TEST_CASE("a look-up at a target that turns slow is hedged, at another not",
          "[routes]") {
  World Test;
  // In its first second an instance probes each target once only.
  Test.pass(milliseconds(1'100));
  Test.report(framework::TargetId(99), 100);
  const auto Sent = only<SendAttempt>(Test.call(1, "/a/x"));
  REQUIRE(Sent.size() == 1);
  SECTION("slow") {
    Test.report(Sent[0].Target_, 700);
    const auto Hedges = only<SendAttempt>(Test.pass(milliseconds(60)));
    REQUIRE(Hedges.size() == 1);
    CHECK(Hedges[0].Target_ != Sent[0].Target_);
  }
  SECTION("as usual") {
    Test.report(Sent[0].Target_, 100);
    CHECK(only<SendAttempt>(Test.pass(milliseconds(60))).empty());
    // Past two thirds of the objective it is hedged all the same.
    CHECK(only<SendAttempt>(Test.pass(milliseconds(100))).size() == 1);
  }
}
