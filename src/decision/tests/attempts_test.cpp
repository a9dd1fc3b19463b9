#include "decision/tests/corefixture.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace cranberryspool;
using namespace cranberryspool::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Answers calls until the core has a latency estimate for their request kind.
void trainLatencyEstimate(CoreFixture &Fixture) {
  for (std::uint64_t Id = 1000; Id < 1100; ++Id) {
    const auto Sent = CoreFixture::actionsOf<SendAttempt>(
        Fixture.deliver(CoreFixture::makeCall(Id)));
    REQUIRE(Sent.size() == 1);
    Fixture.pass(milliseconds(5));
    Fixture.deliver(CoreFixture::makeAnswer(Sent.front()));
  }
}

std::vector<SendAttempt> attemptsAfter(CoreFixture &Fixture,
                                       const Event &Input) {
  auto Sent = CoreFixture::actionsOf<SendAttempt>(Fixture.deliver(Input));
  const auto Later =
      CoreFixture::actionsOf<SendAttempt>(Fixture.pass(milliseconds(2)));
  Sent.insert(Sent.end(), Later.begin(), Later.end());
  return Sent;
}

SendAttempt singleAttemptAfter(CoreFixture &Fixture, const Event &Input) {
  const auto Sent = attemptsAfter(Fixture, Input);
  REQUIRE(Sent.size() == 1);
  return Sent.front();
}

/// Sends a call through a chain of instances. The targets of the last instance
/// always fail. Returns the number of requests that reach them.
std::uint32_t countLowestLevelRequests(std::vector<CoreFixture> &Levels,
                                       std::size_t Level, CallArrived Arrival) {
  if (Level == Levels.size())
    return 1;
  Arrival.Call_ = framework::CallId(Arrival.Call_.value() + 1);
  CoreFixture &Instance = Levels[Level];
  std::uint32_t RequestCount = 0;
  ActionList Actions = Instance.deliver(Arrival);
  while (CoreFixture::actionsOf<AnswerCall>(Actions).empty()) {
    REQUIRE(CoreFixture::actionsOf<RefuseCall>(Actions).empty());
    const auto Sent = CoreFixture::actionsOf<SendAttempt>(Actions);
    if (Sent.empty()) {
      Actions = Instance.pass(milliseconds(5));
      continue;
    }
    CallArrived Forwarded = Arrival;
    Forwarded.Depth_ = Sent.front().Depth_;
    Forwarded.Attempt_ = Sent.front().AttemptMark_;
    RequestCount += countLowestLevelRequests(Levels, Level + 1, Forwarded);
    Actions = Instance.deliver(CoreFixture::makeAnswer(Sent.front(), 500));
  }
  return RequestCount;
}

} // namespace

TEST_CASE("the first answer wins and the other attempt is cancelled",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  trainLatencyEstimate(Fixture);
  const auto First = singleAttemptAfter(Fixture, CoreFixture::makeCall(1));
  const auto Hedges =
      CoreFixture::actionsOf<SendAttempt>(Fixture.pass(milliseconds(20)));
  REQUIRE(Hedges.size() == 1);
  CHECK(Hedges.front().Target_ != First.Target_);
  CHECK(Hedges.front().AttemptMark_ == 2);
  const auto Actions = Fixture.deliver(CoreFixture::makeAnswer(Hedges.front()));
  const auto Answered = CoreFixture::actionsOf<AnswerCall>(Actions);
  REQUIRE(Answered.size() == 1);
  CHECK(Answered.front().Attempt_ == Hedges.front().Attempt_);
  const auto Closed = CoreFixture::actionsOf<CloseConnection>(Actions);
  REQUIRE(Closed.size() == 1);
  CHECK(Closed.front().Connection_ == First.Connection_);
  CHECK(CoreFixture::actionsOf<AnswerCall>(
            Fixture.deliver(CoreFixture::makeAnswer(First)))
            .empty());
}

TEST_CASE("a non-idempotent request is never hedged", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  trainLatencyEstimate(Fixture);
  singleAttemptAfter(Fixture, CoreFixture::makeCall(1, false));
  CHECK(CoreFixture::actionsOf<SendAttempt>(Fixture.pass(seconds(3))).empty());
}

TEST_CASE("a failed idempotent call is retried unless it is itself a retry",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto First = singleAttemptAfter(Fixture, CoreFixture::makeCall(1));
  const auto Second =
      singleAttemptAfter(Fixture, CoreFixture::makeAnswer(First, 500));
  CHECK(Second.Target_ != First.Target_);
  CHECK(Second.AttemptMark_ == 2);
  Fixture.deliver(CoreFixture::makeAnswer(Second));
  CallArrived Retry = CoreFixture::makeCall(2);
  Retry.Attempt_ = 2;
  const auto RetryAttempt = singleAttemptAfter(Fixture, Retry);
  const auto Actions =
      Fixture.deliver(CoreFixture::makeAnswer(RetryAttempt, 500));
  CHECK(CoreFixture::actionsOf<SendAttempt>(Actions).empty());
  CHECK(CoreFixture::actionsOf<AnswerCall>(Actions).size() == 1);
}

TEST_CASE("retries at nine levels add up instead of multiplying",
          "[decision]") {
  constexpr std::size_t Depth = 9;
  std::vector<CoreFixture> Levels(Depth);
  for (CoreFixture &Level : Levels)
    Level.startUp();
  CallArrived Arrival = CoreFixture::makeCall(0);
  Arrival.Timeout_ = seconds(5);
  const std::uint32_t RequestCount =
      countLowestLevelRequests(Levels, 0, Arrival);
  CHECK(RequestCount > 1);
  // Each level adds at most three retries to the one attempt.
  CHECK(RequestCount <= Depth * 3 + 1);
}

TEST_CASE("a shed request is resent only if its own answer says it did not run",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto First =
      singleAttemptAfter(Fixture, CoreFixture::makeCall(1, false));
  const auto Second =
      singleAttemptAfter(Fixture, CoreFixture::makeNotRunAnswer(First));
  CHECK(Second.Target_ != First.Target_);
  auto WithoutAttemptId = CoreFixture::makeNotRunAnswer(Second);
  WithoutAttemptId.EchoedAttempt_ = std::nullopt;
  const auto Actions = Fixture.deliver(WithoutAttemptId);
  CHECK(CoreFixture::actionsOf<SendAttempt>(Actions).empty());
  const auto Refused = CoreFixture::actionsOf<RefuseCall>(Actions);
  REQUIRE(Refused.size() == 1);
  CHECK(Refused.front().Ending_ == calls::Ending::Unknown);
}

TEST_CASE("a disconnected caller cancels only idempotent attempts",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto IdempotentAttempt =
      singleAttemptAfter(Fixture, CoreFixture::makeCall(1));
  const auto AfterFirstGone = Fixture.deliver(CallerGone{framework::CallId(1)});
  REQUIRE(CoreFixture::actionsOf<CloseConnection>(AfterFirstGone).size() == 1);
  CHECK(CoreFixture::actionsOf<CloseConnection>(AfterFirstGone)
            .front()
            .Connection_ == IdempotentAttempt.Connection_);
  CHECK(CoreFixture::actionsOf<RefuseCall>(AfterFirstGone).size() == 1);
  const auto NonIdempotentAttempt =
      singleAttemptAfter(Fixture, CoreFixture::makeCall(2, false));
  const auto AfterSecondGone =
      Fixture.deliver(CallerGone{framework::CallId(2)});
  CHECK(CoreFixture::actionsOf<CloseConnection>(AfterSecondGone).empty());
  CHECK(CoreFixture::actionsOf<RefuseCall>(AfterSecondGone).empty());
  CHECK(CoreFixture::actionsOf<AnswerCall>(
            Fixture.deliver(CoreFixture::makeAnswer(NonIdempotentAttempt)))
            .size() == 1);
}
