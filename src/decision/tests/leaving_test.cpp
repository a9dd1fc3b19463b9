#include "decision/tests/corefixture.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr framework::Duration GracePeriod = seconds(6);

SendAttempt startCall(CoreFixture &Fixture, const CallArrived &Arrival) {
  auto Actions = Fixture.deliver(Arrival);
  const auto Later = Fixture.pass(milliseconds(2));
  Actions.insert(Actions.end(), Later.begin(), Later.end());
  const auto Sent = CoreFixture::actionsOf<SendAttempt>(Actions);
  REQUIRE(Sent.size() == 1);
  return Sent.front();
}

std::size_t countAttempts(const ActionList &Actions) {
  return CoreFixture::actionsOf<SendAttempt>(Actions).size();
}

} // namespace

TEST_CASE("an unsent attempt is withdrawn when its zone is taken out",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  // The attempt waits for a recently active connection.
  REQUIRE(countAttempts(Fixture.deliver(CoreFixture::makeCall(1, false))) == 0);
  CHECK(countAttempts(Fixture.deliverDocument(true)) == 0);
  const auto Later = Fixture.pass(milliseconds(2100));
  CHECK(countAttempts(Later) == 0);
  const auto Refused = CoreFixture::actionsOf<RefuseCall>(Later);
  REQUIRE(Refused.size() == 1);
  CHECK(Refused.front().Ending_ != calls::Ending::Unknown);
}

TEST_CASE("no retry is sent to a zone that was taken out", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto Sent = startCall(Fixture, CoreFixture::makeCall(1));
  Fixture.deliverDocument(true);
  auto Actions = Fixture.deliver(CoreFixture::makeAnswer(Sent, 500));
  const auto Later = Fixture.pass(seconds(1));
  CHECK(countAttempts(Actions) + countAttempts(Later) == 0);
  // The answer of the failed attempt is sent in place of a retry.
  CHECK(CoreFixture::actionsOf<AnswerCall>(Later).size() == 1);
}

TEST_CASE("a target that restarts while its zone is out receives no work",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto Sent = startCall(Fixture, CoreFixture::makeCall(1));
  Fixture.deliverDocument(true);
  auto Answer = CoreFixture::makeAnswer(Sent);
  Answer.StartId_ = framework::Incarnation(2);
  Fixture.deliver(Answer);
  CHECK(countAttempts(Fixture.deliver(CoreFixture::makeCall(2))) == 0);
  CHECK(countAttempts(Fixture.pass(seconds(3))) == 0);
}

TEST_CASE("an attempt in flight at a leaving target is answered",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto Sent = startCall(Fixture, CoreFixture::makeCall(1, false));
  const auto Changed = Fixture.deliverDocument(true);
  CHECK(CoreFixture::actionsOf<CloseConnection>(Changed).empty());
  Fixture.pass(milliseconds(1500));
  CHECK(CoreFixture::actionsOf<AnswerCall>(
            Fixture.deliver(CoreFixture::makeAnswer(Sent)))
            .size() == 1);
}

TEST_CASE("after a pause the published state is read before any attempt",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  Fixture.publishInstances(true);
  Fixture.pause(seconds(40));
  ActionList Actions = Fixture.deliver(CoreFixture::makeCall(1));
  CHECK(countAttempts(Actions) == 0);
  const auto Later = Fixture.pass(milliseconds(490));
  Actions.insert(Actions.end(), Later.begin(), Later.end());
  bool HasReadDocument = false;
  bool HasReadInstances = false;
  for (const Action &Each : Actions) {
    HasReadDocument |= std::holds_alternative<ReadDocument>(Each);
    HasReadInstances |= std::holds_alternative<ReadInstances>(Each);
    if (const auto *Sent = std::get_if<SendAttempt>(&Each)) {
      CHECK(HasReadDocument);
      CHECK(HasReadInstances);
      // The first target was leaving when the pause ended.
      CHECK(Sent->Target_ == framework::TargetId(1));
    }
  }
  CHECK(HasReadDocument);
  CHECK(HasReadInstances);
}

TEST_CASE("a call sent before a pause ends as unknown", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  startCall(Fixture, CoreFixture::makeCall(1, false));
  Fixture.pause(seconds(40));
  const auto AfterPause = Fixture.deliver(Tick{});
  const auto Refused = CoreFixture::actionsOf<RefuseCall>(AfterPause);
  REQUIRE(Refused.size() == 1);
  CHECK(Refused.front().Ending_ == calls::Ending::Unknown);
  CHECK(countAttempts(AfterPause) + countAttempts(Fixture.pass(seconds(2))) ==
        0);
}

TEST_CASE("a stop waits for slow attempts and then finishes", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto Sent = startCall(Fixture, CoreFixture::makeCall(1, false));
  Fixture.deliver(StopRequested{});
  // The caller is refused at the deadline, while the attempt at the target
  // continues.
  const auto Waiting = Fixture.pass(seconds(10));
  CHECK(CoreFixture::actionsOf<RefuseCall>(Waiting).size() == 1);
  CHECK(CoreFixture::actionsOf<FinishStop>(Waiting).empty());
  const auto Done = Fixture.deliver(CoreFixture::makeAnswer(Sent));
  CHECK(CoreFixture::actionsOf<FinishStop>(Done).size() == 1);
}

TEST_CASE("a stop does not wait indefinitely for a silent target",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  startCall(Fixture, CoreFixture::makeCall(1, false));
  Fixture.deliver(StopRequested{});
  CHECK(CoreFixture::actionsOf<FinishStop>(Fixture.pass(seconds(40))).size() ==
        1);
}

TEST_CASE("a stopping instance still retries calls", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  Fixture.deliver(StopRequested{});
  const auto First = startCall(Fixture, CoreFixture::makeCall(1));
  const auto Second = CoreFixture::actionsOf<SendAttempt>(
      Fixture.deliver(CoreFixture::makeAnswer(First, 500)));
  REQUIRE(Second.size() == 1);
  CHECK(CoreFixture::actionsOf<AnswerCall>(
            Fixture.deliver(CoreFixture::makeAnswer(Second.front())))
            .size() == 1);
}

TEST_CASE("a connection reset during a stop ends calls by the usual rules",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto Sent = startCall(Fixture, CoreFixture::makeCall(1, false));
  Fixture.deliver(StopRequested{});
  const auto Lost = Fixture.deliver(
      AttemptFailed{.Attempt_ = Sent.Attempt_,
                    .Connection_ = Sent.Connection_,
                    .Failure_ = calls::AttemptFailure::ConnectionReset});
  const auto Refused = CoreFixture::actionsOf<RefuseCall>(Lost);
  REQUIRE(Refused.size() == 1);
  CHECK(Refused.front().Ending_ == calls::Ending::Unknown);
  CHECK(CoreFixture::actionsOf<FinishStop>(Fixture.pass(seconds(4))).size() ==
        1);
}

TEST_CASE("a pause during a stop aborts no call", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  Fixture.deliver(StopRequested{});
  const auto Sent = startCall(Fixture, CoreFixture::makeCall(1, false));
  Fixture.pause(milliseconds(1500));
  const auto AfterPause = Fixture.deliver(CoreFixture::makeAnswer(Sent));
  CHECK(CoreFixture::actionsOf<AnswerCall>(AfterPause).size() == 1);
  CHECK(CoreFixture::actionsOf<FinishStop>(Fixture.pass(seconds(4))).size() ==
        1);
}

TEST_CASE("a call that cannot end before the process is killed is answered "
          "before that",
          "[decision]") {
  const bool IsIdempotent = GENERATE(true, false);
  CoreFixture Fixture(GracePeriod);
  Fixture.startUp();
  startCall(Fixture, CoreFixture::makeLongCall(1, IsIdempotent));
  Fixture.deliver(StopRequested{});
  startCall(Fixture, CoreFixture::makeLongCall(2, IsIdempotent));
  const auto Actions = Fixture.pass(GracePeriod - milliseconds(200));
  const auto Refused = CoreFixture::actionsOf<RefuseCall>(Actions);
  REQUIRE(Refused.size() == 2);
  CHECK(Refused[0].Ending_ == calls::Ending::Unknown);
  CHECK(Refused[1].Ending_ == calls::Ending::Unknown);
  // The targets still work on both.
  CHECK(CoreFixture::actionsOf<FinishStop>(Actions).size() == 1);
}

TEST_CASE("a target is not given more time than a stopping instance has",
          "[decision]") {
  CoreFixture Fixture(GracePeriod);
  Fixture.startUp();
  Fixture.deliver(StopRequested{});
  const auto Sent = startCall(Fixture, CoreFixture::makeLongCall(1, false));
  CHECK(Sent.Timeout_ < GracePeriod);
}

TEST_CASE("a call that arrives late in a stop is refused if the stop may cut "
          "it off at its target",
          "[decision]") {
  CoreFixture Fixture(GracePeriod);
  Fixture.startUp();
  Fixture.deliver(StopRequested{});
  Fixture.pass(milliseconds(2'950));
  const auto Refused = CoreFixture::actionsOf<RefuseCall>(
      Fixture.deliver(CoreFixture::makeLongCall(1, GENERATE(true, false))));
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Ending_ == calls::Ending::NotRun);
  startCall(Fixture, CoreFixture::makeCall(2));
}

TEST_CASE("a stopping instance does not give up a call at whose target later "
          "calls are answered first",
          "[decision]") {
  const bool IsIdempotent = GENERATE(true, false);
  CoreFixture Fixture(GracePeriod);
  Fixture.startUp();
  Fixture.deliver(StopRequested{});
  // One at each of the two targets.
  std::vector<SendAttempt> Slow;
  for (std::uint64_t Id = 1; Id <= 2; ++Id)
    Slow.push_back(
        startCall(Fixture, CoreFixture::makeLongCall(Id, IsIdempotent)));
  ActionList Actions;
  for (std::uint64_t Id = 3; Id <= 60; ++Id) {
    const auto Sent =
        startCall(Fixture, CoreFixture::makeLongCall(Id, IsIdempotent));
    const auto Later = Fixture.pass(milliseconds(20));
    Actions.insert(Actions.end(), Later.begin(), Later.end());
    Fixture.deliver(CoreFixture::makeAnswer(Sent));
  }
  const auto Later = Fixture.pass(milliseconds(500));
  Actions.insert(Actions.end(), Later.begin(), Later.end());
  CHECK(CoreFixture::actionsOf<RefuseCall>(Actions).empty());
  for (const SendAttempt &Each : Slow)
    CHECK(CoreFixture::actionsOf<AnswerCall>(
              Fixture.deliver(CoreFixture::makeAnswer(Each)))
              .size() == 1);
}

TEST_CASE("a stopping instance refuses a call that takes longer than it has",
          "[decision]") {
  CoreFixture Fixture(GracePeriod);
  Fixture.startUp();
  // Calls of this kind take four seconds.
  for (std::uint64_t Id = 1; Id <= 60; ++Id) {
    const auto Sent = startCall(Fixture, CoreFixture::makeLongCall(Id, false));
    Fixture.pass(seconds(4));
    Fixture.deliver(CoreFixture::makeAnswer(Sent));
  }
  Fixture.deliver(StopRequested{});
  Fixture.pass(milliseconds(2'900));
  const auto Refused = CoreFixture::actionsOf<RefuseCall>(
      Fixture.deliver(CoreFixture::makeLongCall(100, false)));
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Ending_ == calls::Ending::NotRun);
}
