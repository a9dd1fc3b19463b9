#include "quotas/tests/quotafleet.h"

#include <catch2/catch.hpp>

#include <limits>
#include <string>

using namespace cranberryspool;
using namespace cranberryspool::quotas;
using framework::CallId;
using framework::Incarnation;
using framework::InstanceName;
using framework::WorkspaceName;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const WorkspaceName Name("w");

WorkspaceLimit limitOf(double Rate, double Burst) {
  return {Name, Rate, Burst};
}

/// A coordinator whose share is full, with one peer that a test plays.
struct Alone {
  QuotaCoordinator Coordinator_{
      QuotaSettings{.Self_ = InstanceName("a"), .Incarnation_ = Incarnation(5)},
      framework::Random(1)};
  Instant Now_{std::chrono::hours(1)};

  explicit Alone(WorkspaceLimit Limit, bool HasPeer) {
    if (HasPeer)
      Coordinator_.setMembers(
          {QuotaMember{InstanceName("b"), Incarnation(7), "10.0.0.2:7000"}}, 2);
    Coordinator_.setQuotas({std::move(Limit)}, Now_);
    Now_ += std::chrono::hours(5);
    Coordinator_.tick(Now_);
  }

  QuotaVerdict request(std::uint64_t Call) {
    return Coordinator_.request(Name, CallId(Call), Now_).Verdict_;
  }
};

QuotaRequest shareRequest(std::uint64_t Sequence, std::uint64_t Wanted) {
  return {.From_ = InstanceName("b"),
          .Incarnation_ = Incarnation(7),
          .Workspace_ = Name,
          .Sequence_ = Sequence,
          .IsForShare_ = true,
          .Wanted_ = Wanted,
          .Returned_ = 0,
          .Fleet_ = {}};
}

std::uint64_t grantedIn(const std::vector<QuotaMessage> &Messages) {
  std::uint64_t Sum = 0;
  for (const QuotaMessage &Each : Messages)
    if (const auto *Grant = std::get_if<QuotaGrant>(&Each.Content_))
      Sum += Grant->Granted_;
  return Sum;
}

} // namespace

TEST_CASE("a single instance decides at once and tells the next credit",
          "[quotas]") {
  Alone Test(limitOf(2, 5), false);
  for (std::uint64_t Call = 0; Call < 5; ++Call)
    REQUIRE(Test.request(Call) == QuotaVerdict::Admitted);
  const QuotaAnswer Refused =
      Test.Coordinator_.request(Name, CallId(9), Test.Now_);
  REQUIRE(Refused.Verdict_ == QuotaVerdict::OverQuota);
  // Guards against callers that come back too early and are refused again.
  Test.Now_ += Refused.NextCreditIn_;
  CHECK(Refused.NextCreditIn_ <= milliseconds(600));
  CHECK(Test.request(10) == QuotaVerdict::Admitted);
  CHECK(Test.Coordinator_.takeMessages().empty());
}

TEST_CASE("an instance that starts alone uses its part of the expected fleet",
          "[quotas]") {
  // Guards against a restarted instance without peers that grants the whole
  // quota beside the others.
  QuotaCoordinator Coordinator(QuotaSettings{.Self_ = InstanceName("a"),
                                             .Incarnation_ = Incarnation(5),
                                             .ExpectedInstances_ = 11},
                               framework::Random(1));
  Instant Now{std::chrono::hours(1)};
  Coordinator.setQuotas({limitOf(100, 0)}, Now);
  Now += seconds(10);
  std::size_t Admitted = 0;
  for (std::uint64_t Call = 0; Call < 2000; ++Call, Now += milliseconds(5)) {
    Coordinator.tick(Now);
    const auto Answer = Coordinator.request(Name, CallId(Call), Now);
    Admitted += Answer.Verdict_ == QuotaVerdict::Admitted ? 1 : 0;
    for (const QuotaDecision &Each : Coordinator.takeDecisions())
      Admitted += Each.IsAdmitted_ ? 1 : 0;
  }
  // A tenth of the quota in 10 s, and the content of the buckets.
  CHECK(Admitted >= 90);
  CHECK(Admitted <= 115);
}

TEST_CASE("a credit given back admits another call", "[quotas]") {
  Alone Test(limitOf(0.2, 1), false);
  REQUIRE(Test.request(1) == QuotaVerdict::Admitted);
  REQUIRE(Test.request(2) == QuotaVerdict::OverQuota);
  Test.Coordinator_.giveBack(Name, Test.Now_);
  CHECK(Test.request(3) == QuotaVerdict::Admitted);
  CHECK(Test.request(4) == QuotaVerdict::OverQuota);
}

TEST_CASE("a credit given back reaches callers of other instances",
          "[quotas]") {
  // Guards against credits that stay at an instance without callers.
  QuotaFleet Fleet({.Instances_ = 13, .Limit_ = limitOf(0.05, 1), .Loss_ = 0});
  Fleet.call(3);
  Fleet.pass(seconds(1));
  REQUIRE(Fleet.admittedSince({}) == 1);
  Fleet.giveBack(3);
  Fleet.pass(seconds(1));
  Fleet.call(8);
  Fleet.pass(seconds(1));
  CHECK(Fleet.admittedSince({}) == 2);
}

TEST_CASE("workspaces without callers send and keep nothing", "[quotas]") {
  QuotaFleet Fleet({.Instances_ = 48, .Limit_ = limitOf(20, 10)});
  CHECK(Fleet.sentMessages() == 0);
  Fleet.run(40, seconds(5));
  CHECK(Fleet.sentMessages() > 0);
  Fleet.pass(seconds(5));
  const std::uint64_t Sent = Fleet.sentMessages();
  Fleet.pass(seconds(60));
  CHECK(Fleet.sentMessages() == Sent);
  for (std::size_t Node = 0; Node < Fleet.size(); ++Node) {
    CHECK(Fleet.at(Node).activeWorkspaceCount() == 0);
    CHECK_FALSE(Fleet.at(Node).nextWakeUp());
  }
}

TEST_CASE("a call waits under 10 ms on a healthy network", "[quotas]") {
  for (const double Rate : {2.0, 200.0, 2000.0}) {
    QuotaFleet Fleet(
        {.Instances_ = 129, .Limit_ = limitOf(Rate, Rate), .Loss_ = 0});
    Fleet.run(0.8 * Rate, seconds(5));
    CHECK(Fleet.longestWait() < milliseconds(10));
  }
}

TEST_CASE("steady calls of an instance do not wait for a credit", "[quotas]") {
  QuotaFleet Fleet({.Instances_ = 13, .Limit_ = limitOf(200, 50), .Loss_ = 0});
  Fleet.run(100, seconds(1), [] { return 2; });
  const std::size_t Waits = Fleet.waitCount();
  Fleet.run(100, seconds(20), [] { return 2; });
  CHECK(Fleet.waitCount() - Waits < 20);
}

TEST_CASE("control traffic of an instance does not grow with the fleet",
          "[quotas]") {
  std::uint64_t Busiest[2] = {};
  for (int Index = 0; Index < 2; ++Index) {
    const std::size_t Instances = Index == 0 ? 48 : 584;
    QuotaFleet Fleet({.Instances_ = Instances, .Limit_ = limitOf(200, 50)});
    Fleet.run(400, seconds(10));
    Busiest[Index] = Fleet.sentBy(Fleet.home());
  }
  CHECK(static_cast<double>(Busiest[1]) <=
        1.25 * static_cast<double>(Busiest[0]));
}

TEST_CASE("a request that comes twice is granted once", "[quotas]") {
  // Guards against a duplicated or repeated datagram that takes two credits,
  // and against one that comes after a later one.
  Alone Test(limitOf(0.001, 10), true);
  Test.Coordinator_.handle(shareRequest(8, 1'000'000), Test.Now_);
  Test.Coordinator_.handle(shareRequest(8, 1'000'000), Test.Now_);
  CHECK(grantedIn(Test.Coordinator_.takeMessages()) == 2'000'000);
  Test.Coordinator_.handle(shareRequest(7, 1'000'000), Test.Now_);
  CHECK(grantedIn(Test.Coordinator_.takeMessages()) == 0);
  Test.Coordinator_.handle(shareRequest(9, 100'000'000), Test.Now_);
  const std::uint64_t Rest = grantedIn(Test.Coordinator_.takeMessages());
  CHECK(Rest <= 10'000'000 * 7 / 12);
  CHECK(Rest >= 10'000'000 * 7 / 12 - 1'100'000);
}

TEST_CASE("impossible requests are counted and change nothing", "[quotas]") {
  Alone Test(limitOf(0.001, 10), true);
  constexpr std::uint64_t Absurd = std::numeric_limits<std::uint64_t>::max();
  QuotaRequest Returning = shareRequest(1, 0);
  Returning.IsForShare_ = false;
  Returning.Returned_ = Absurd;
  QuotaRequest Old = shareRequest(4, 1'000'000);
  Old.Incarnation_ = Incarnation(6);
  QuotaRequest Own = shareRequest(5, 1'000'000);
  Own.From_ = InstanceName("a");
  for (const QuotaRequest &Each :
       {shareRequest(1, Absurd), shareRequest(0, 1), Returning, Old, Own})
    Test.Coordinator_.handle(Each, Test.Now_);
  CHECK(Test.Coordinator_.counters().MessagesRejected_ == 5);
  CHECK(Test.Coordinator_.takeMessages().empty());
  CHECK(Test.Coordinator_.activeWorkspaceCount() == 0);
}

TEST_CASE("impossible and late grants admit no call", "[quotas]") {
  Alone Test(limitOf(100, 1), true);
  // Uses what this instance has itself; then calls depend on the other one.
  std::uint64_t Call = 0;
  while (Test.request(++Call) != QuotaVerdict::Pending)
    REQUIRE(Call < 100);
  const std::vector<QuotaMessage> Sent = Test.Coordinator_.takeMessages();
  REQUIRE_FALSE(Sent.empty());
  const auto &Asked = std::get<QuotaRequest>(Sent.back().Content_);
  QuotaGrant Grant{.From_ = InstanceName("b"),
                   .Incarnation_ = Incarnation(7),
                   .EchoIncarnation_ = Incarnation(5),
                   .EchoSequence_ = Asked.Sequence_,
                   .Workspace_ = Name,
                   .Granted_ = Asked.Wanted_ + 1,
                   .NextCreditIn_ = {},
                   .Fleet_ = {}};
  const auto Reject = [&](const QuotaGrant &Message) {
    const auto Before = Test.Coordinator_.counters().MessagesRejected_;
    Test.Coordinator_.handle(Message, Test.Now_);
    CHECK(Test.Coordinator_.counters().MessagesRejected_ == Before + 1);
    CHECK(Test.Coordinator_.takeDecisions().empty());
  };
  Reject(Grant);
  Grant.Granted_ = std::numeric_limits<std::uint64_t>::max();
  Reject(Grant);
  Grant.Granted_ = 1;
  Grant.NextCreditIn_ = seconds(-1);
  Reject(Grant);
  Grant.NextCreditIn_ = std::chrono::hours(1000);
  Reject(Grant);
  Grant.NextCreditIn_ = {};
  Grant.EchoIncarnation_ = Incarnation(4);
  Reject(Grant);
  Grant.EchoIncarnation_ = Incarnation(5);
  Grant.Incarnation_ = Incarnation(6);
  Reject(Grant);
  // A grant for another request is late; it is ignored, not counted.
  Grant.Incarnation_ = Incarnation(7);
  Grant.EchoSequence_ = Asked.Sequence_ + 1000;
  Test.Coordinator_.handle(Grant, Test.Now_);
  CHECK(Test.Coordinator_.takeDecisions().empty());
}

TEST_CASE("a cancelled call is not decided", "[quotas]") {
  Alone Test(limitOf(100, 1), true);
  std::uint64_t Call = 0;
  while (Test.request(++Call) != QuotaVerdict::Pending)
    REQUIRE(Call < 100);
  Test.Coordinator_.cancel(CallId(Call));
  Test.Coordinator_.tick(Test.Now_ + milliseconds(60));
  CHECK(Test.Coordinator_.takeDecisions().empty());
}
