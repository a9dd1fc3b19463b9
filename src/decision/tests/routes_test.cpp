#include "decision/tests/storefixture.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("an instance serves calls after its first read of the metadata store",
          "[routes]") {
  StoreFixture Fixture;
  const auto Sent =
      StoreFixture::actionsOf<SendAttempt>(Fixture.sendCall(1, "/a/x"));
  REQUIRE(Sent.size() == 1);
  CHECK(Sent[0].TargetName_.value().starts_with("s1-"));
}

TEST_CASE("the route's timeout limits the caller's timeout", "[routes]") {
  StoreFixture Fixture;
  const auto Sent =
      StoreFixture::actionsOf<SendAttempt>(Fixture.sendCall(1, "/a/x"));
  CHECK(Sent.at(0).Timeout_ <= milliseconds(800));
  const auto Ended =
      StoreFixture::actionsOf<RefuseCall>(Fixture.pass(milliseconds(810)));
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Reason_ == calls::EndingReason::DeadlinePassed);
}

TEST_CASE("a path without a route is rejected only with a fresh view",
          "[routes]") {
  StoreFixture Fixture;
  // The first read may return stale records.
  auto Ended =
      StoreFixture::actionsOf<RefuseCall>(Fixture.sendCall(1, "/none/"));
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Reason_ == calls::EndingReason::ViewTooOld);
  Fixture.deliver(RecordsChanged{{}, framework::Revision(5)});
  Ended = StoreFixture::actionsOf<RefuseCall>(Fixture.sendCall(2, "/none/"));
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Reason_ == calls::EndingReason::NoSuchKind);
  Fixture.pass(seconds(3));
  Ended = StoreFixture::actionsOf<RefuseCall>(Fixture.sendCall(3, "/none/"));
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Reason_ == calls::EndingReason::ViewTooOld);
}

TEST_CASE("a path without a route is not rejected while a newer configuration "
          "is known to be missing",
          "[routes]") {
  StoreFixture Fixture;
  Fixture.deliver(RecordsChanged{{}, framework::Revision(5)});
  Fixture.introduce({.Name_ = framework::InstanceName("entry-2"),
                     .Incarnation_ = framework::Incarnation(5),
                     .Zone_ = framework::ZoneName("a"),
                     .Address_ = "127.0.0.2:7000"});
  fleet::RecordUpdate Update;
  Update.From_ = framework::InstanceName("entry-2");
  Update.Incarnation_ = framework::Incarnation(5);
  Update.FromRevision_ = Update.ToRevision_ = framework::Revision(7);
  Fixture.deliver(PeerMessageReceived{Update});
  const auto Ended =
      StoreFixture::actionsOf<RefuseCall>(Fixture.sendCall(1, "/none/"));
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Reason_ == calls::EndingReason::ViewTooOld);
}

// Guards against a 404 of an instance of another fleet, which callers see.
TEST_CASE(
    "a call that an instance of another fleet forwards is not rejected by "
    "the own routes",
    "[routes]") {
  StoreFixture Fixture;
  Fixture.deliver(RecordsChanged{{}, framework::Revision(5)});
  fleet::GossipMessage Gossip;
  Gossip.Members_.push_back({.Name_ = framework::InstanceName("entry-2"),
                             .Incarnation_ = framework::Incarnation(5),
                             .Zone_ = framework::ZoneName("a"),
                             .Address_ = "127.0.0.2:7000"});
  Fixture.deliver(PeerMessageReceived{Gossip});
  CallArrived Arrived;
  Arrived.Call_ = framework::CallId(1);
  Arrived.Method_ = "GET";
  Arrived.Host_ = "h.example";
  Arrived.Path_ = GENERATE("/a/x", "/none/");
  Arrived.ForwardedBy_ =
      ForwardingInstance{framework::InstanceName("entry-2"),
                         framework::Incarnation(5), "127.0.0.2"};
  const auto Ended =
      StoreFixture::actionsOf<RefuseCall>(Fixture.deliver(Arrived));
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Reason_ == calls::EndingReason::ForwarderUnknown);
  CHECK(Ended[0].Ending_ == calls::Ending::NotRun);
}

TEST_CASE("a call is sent to no more targets than its route allows",
          "[routes]") {
  StoreFixture Fixture;
  auto Sent = StoreFixture::actionsOf<SendAttempt>(Fixture.sendCall(1, "/a/x"));
  REQUIRE(Sent.size() == 1);
  ActionList Next = Fixture.deliver(StoreFixture::makeReset(Sent[0]));
  ActionList Later = Fixture.pass(milliseconds(5));
  Next.insert(Next.end(), Later.begin(), Later.end());
  Sent = StoreFixture::actionsOf<SendAttempt>(Next);
  REQUIRE(Sent.size() == 1);
  Next = Fixture.deliver(StoreFixture::makeReset(Sent[0]));
  CHECK(StoreFixture::actionsOf<RefuseCall>(Next).size() == 1);
  CHECK(StoreFixture::actionsOf<SendAttempt>(Fixture.pass(milliseconds(100)))
            .empty());
}

TEST_CASE("a non-idempotent call ends as unknown after a connection reset",
          "[routes]") {
  StoreFixture Fixture;
  const auto Sent =
      StoreFixture::actionsOf<SendAttempt>(Fixture.sendCall(1, "/b/x"));
  const auto Ended = StoreFixture::actionsOf<RefuseCall>(
      Fixture.deliver(StoreFixture::makeReset(Sent.at(0))));
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
  const auto Ended = StoreFixture::actionsOf<RefuseCall>(All);
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].RetryAfter_ <= milliseconds(400) / 3);
}

TEST_CASE("a split route distributes calls by weight", "[routes]") {
  StoreFixture Fixture;
  int First = 0;
  for (std::uint64_t Id = 1; Id <= 400; ++Id) {
    const auto Sent =
        StoreFixture::actionsOf<SendAttempt>(Fixture.sendCall(Id, "/c/x"));
    REQUIRE(Sent.size() == 1);
    First += Sent[0].TargetName_.value().starts_with("s1-") ? 1 : 0;
    Fixture.deliver(StoreFixture::makeAnswer(Sent[0]));
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
  const auto Sent =
      StoreFixture::actionsOf<SendAttempt>(Fixture.sendCall(1, "/a/x"));
  REQUIRE(Sent.size() == 1);
  SECTION("slow") {
    Fixture.answerProbes(Sent[0].Target_, 700);
    const auto Hedges =
        StoreFixture::actionsOf<SendAttempt>(Fixture.pass(milliseconds(60)));
    REQUIRE(Hedges.size() == 1);
    CHECK(Hedges[0].Target_ != Sent[0].Target_);
  }
  SECTION("as usual") {
    Fixture.answerProbes(Sent[0].Target_, 100);
    CHECK(StoreFixture::actionsOf<SendAttempt>(Fixture.pass(milliseconds(60)))
              .empty());
    // After 65 % of the latency objective the call is hedged in any case.
    CHECK(StoreFixture::actionsOf<SendAttempt>(Fixture.pass(milliseconds(100)))
              .size() == 1);
  }
}

TEST_CASE("the report of an attempt names the document that decided the call, "
          "though another one is in force by then",
          "[routes]") {
  CoreSettings Settings = StoreFixture::settings();
  Settings.ReportsAttempts_ = true;
  StoreFixture Fixture(Settings);
  const auto Actions = Fixture.sendCall(1, "/a/x");
  const auto Reports = StoreFixture::actionsOf<ReportAttempt>(Actions);
  REQUIRE(!Reports.empty());
  REQUIRE(Reports.back().DecidedBy_);
  CHECK(Reports.back().DecidedBy_->Version_ == framework::Revision(1));
  CHECK(Reports.back().DecidedBy_->Source_ == "store");
  CHECK(Reports.back().DecidedBy_->RecordRevision_ == framework::Revision(5));
  Fixture.deliver(RecordsChanged{{{"c", "2", framework::Revision(6), false}},
                                 framework::Revision(6)});
  const auto Sent = StoreFixture::actionsOf<SendAttempt>(Actions);
  const auto Ended = StoreFixture::actionsOf<ReportAttemptEnd>(
      Fixture.deliver(StoreFixture::makeAnswer(Sent.at(0))));
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].DecidedBy_->Version_ == framework::Revision(1));
  const ViewStatus View = Fixture.Core_.view();
  CHECK(View.DocumentSource_ == "store");
  CHECK(View.DocumentRecord_ == framework::Revision(6));
  REQUIRE(View.Store_);
  CHECK(View.Store_->Revision_ == framework::Revision(6));
}
