#include "decision/tests/corefixture.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace cranberryspool;
using namespace cranberryspool::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Answers calls until the core knows how long they usually take.
void teachLatency(CoreFixture &Fixture) {
  for (std::uint64_t Id = 1000; Id < 1100; ++Id) {
    const auto Sent =
        CoreFixture::only<SendAttempt>(Fixture.tell(CoreFixture::call(Id)));
    REQUIRE(Sent.size() == 1);
    Fixture.pass(milliseconds(5));
    Fixture.tell(CoreFixture::answerTo(Sent.front()));
  }
}

std::vector<SendAttempt> sentBy(CoreFixture &Fixture, const Event &Input) {
  auto Sent = CoreFixture::only<SendAttempt>(Fixture.tell(Input));
  const auto Later =
      CoreFixture::only<SendAttempt>(Fixture.pass(milliseconds(2)));
  Sent.insert(Sent.end(), Later.begin(), Later.end());
  return Sent;
}

SendAttempt oneSentBy(CoreFixture &Fixture, const Event &Input) {
  const auto Sent = sentBy(Fixture, Input);
  REQUIRE(Sent.size() == 1);
  return Sent.front();
}

/// Sends a call down through instances whose last one finds only targets that
/// fail; returns how often the lowest targets are asked.
std::uint32_t askLowest(std::vector<CoreFixture> &Levels, std::size_t Level,
                        CallArrived Arrival) {
  if (Level == Levels.size())
    return 1;
  Arrival.Call_ = framework::CallId(Arrival.Call_.value() + 1);
  CoreFixture &Here = Levels[Level];
  std::uint32_t Asked = 0;
  ActionList Actions = Here.tell(Arrival);
  while (CoreFixture::only<AnswerCall>(Actions).empty()) {
    REQUIRE(CoreFixture::only<RefuseCall>(Actions).empty());
    const auto Sent = CoreFixture::only<SendAttempt>(Actions);
    if (Sent.empty()) {
      Actions = Here.pass(milliseconds(5));
      continue;
    }
    CallArrived Below = Arrival;
    Below.Depth_ = Sent.front().Depth_;
    Below.Attempt_ = Sent.front().AttemptMark_;
    Asked += askLowest(Levels, Level + 1, Below);
    Actions = Here.tell(CoreFixture::answerTo(Sent.front(), 500));
  }
  return Asked;
}

} // namespace

TEST_CASE("the first answer wins and the other attempt is cancelled",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  teachLatency(Fixture);
  const auto First = oneSentBy(Fixture, CoreFixture::call(1));
  const auto Hedges =
      CoreFixture::only<SendAttempt>(Fixture.pass(milliseconds(20)));
  REQUIRE(Hedges.size() == 1);
  CHECK(Hedges.front().Target_ != First.Target_);
  CHECK(Hedges.front().AttemptMark_ == 2);
  const auto Actions = Fixture.tell(CoreFixture::answerTo(Hedges.front()));
  const auto Answered = CoreFixture::only<AnswerCall>(Actions);
  REQUIRE(Answered.size() == 1);
  CHECK(Answered.front().Attempt_ == Hedges.front().Attempt_);
  const auto Closed = CoreFixture::only<CloseConnection>(Actions);
  REQUIRE(Closed.size() == 1);
  CHECK(Closed.front().Connection_ == First.Connection_);
  CHECK(
      CoreFixture::only<AnswerCall>(Fixture.tell(CoreFixture::answerTo(First)))
          .empty());
}

TEST_CASE("a request that must not run twice is never hedged", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  teachLatency(Fixture);
  oneSentBy(Fixture, CoreFixture::call(1, false));
  CHECK(CoreFixture::only<SendAttempt>(Fixture.pass(seconds(3))).empty());
}

TEST_CASE("a failed look-up is tried elsewhere, a repeat of one is not",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto First = oneSentBy(Fixture, CoreFixture::call(1));
  const auto Second = oneSentBy(Fixture, CoreFixture::answerTo(First, 500));
  CHECK(Second.Target_ != First.Target_);
  CHECK(Second.AttemptMark_ == 2);
  Fixture.tell(CoreFixture::answerTo(Second));
  CallArrived Repeat = CoreFixture::call(2);
  Repeat.Attempt_ = 2;
  const auto Only = oneSentBy(Fixture, Repeat);
  const auto Actions = Fixture.tell(CoreFixture::answerTo(Only, 500));
  CHECK(CoreFixture::only<SendAttempt>(Actions).empty());
  CHECK(CoreFixture::only<AnswerCall>(Actions).size() == 1);
}

TEST_CASE("retries at nine levels add up and do not multiply", "[decision]") {
  constexpr std::size_t Depth = 9;
  std::vector<CoreFixture> Levels(Depth);
  for (CoreFixture &Level : Levels)
    Level.startUp();
  CallArrived Arrival = CoreFixture::call(0);
  Arrival.Timeout_ = seconds(5);
  const std::uint32_t Asked = askLowest(Levels, 0, Arrival);
  CHECK(Asked > 1);
  // Three repeats at most at each level, and one for each of those below.
  CHECK(Asked <= Depth * 3 + 1);
}

TEST_CASE("a shed request is sent elsewhere only on the word of its own answer",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto First = oneSentBy(Fixture, CoreFixture::call(1, false));
  const auto Second = oneSentBy(Fixture, CoreFixture::notRunAnswerTo(First));
  CHECK(Second.Target_ != First.Target_);
  auto Unnamed = CoreFixture::notRunAnswerTo(Second);
  Unnamed.EchoedAttempt_ = std::nullopt;
  const auto Actions = Fixture.tell(Unnamed);
  CHECK(CoreFixture::only<SendAttempt>(Actions).empty());
  const auto Refused = CoreFixture::only<RefuseCall>(Actions);
  REQUIRE(Refused.size() == 1);
  CHECK(Refused.front().Ending_ == calls::Ending::Unknown);
}

TEST_CASE("a caller that goes ends what may be cut and nothing else",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto LookUp = oneSentBy(Fixture, CoreFixture::call(1));
  const auto Cut = Fixture.tell(CallerGone{framework::CallId(1)});
  REQUIRE(CoreFixture::only<CloseConnection>(Cut).size() == 1);
  CHECK(CoreFixture::only<CloseConnection>(Cut).front().Connection_ ==
        LookUp.Connection_);
  CHECK(CoreFixture::only<RefuseCall>(Cut).size() == 1);
  const auto Issue = oneSentBy(Fixture, CoreFixture::call(2, false));
  const auto Left = Fixture.tell(CallerGone{framework::CallId(2)});
  CHECK(CoreFixture::only<CloseConnection>(Left).empty());
  CHECK(CoreFixture::only<RefuseCall>(Left).empty());
  CHECK(
      CoreFixture::only<AnswerCall>(Fixture.tell(CoreFixture::answerTo(Issue)))
          .size() == 1);
}
