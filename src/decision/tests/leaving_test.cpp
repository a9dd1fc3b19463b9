#include "decision/tests/corefixture.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

SendAttempt sendOne(CoreFixture &Fixture, const CallArrived &Arrival) {
  auto Actions = Fixture.tell(Arrival);
  const auto Later = Fixture.pass(milliseconds(2));
  Actions.insert(Actions.end(), Later.begin(), Later.end());
  const auto Sent = CoreFixture::only<SendAttempt>(Actions);
  REQUIRE(Sent.size() == 1);
  return Sent.front();
}

std::size_t countSent(const ActionList &Actions) {
  return CoreFixture::only<SendAttempt>(Actions).size();
}

} // namespace

TEST_CASE("an unsent attempt is taken back from a zone taken out",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  // It waits for a connection lately heard alive.
  REQUIRE(countSent(Fixture.tell(CoreFixture::call(1, false))) == 0);
  CHECK(countSent(Fixture.tellDocument(true)) == 0);
  const auto Later = Fixture.pass(milliseconds(2100));
  CHECK(countSent(Later) == 0);
  const auto Refused = CoreFixture::only<RefuseCall>(Later);
  REQUIRE(Refused.size() == 1);
  CHECK(Refused.front().Ending_ != calls::Ending::Unknown);
}

TEST_CASE("no retry leaves for a zone taken out", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto Sent = sendOne(Fixture, CoreFixture::call(1));
  Fixture.tellDocument(true);
  auto Actions = Fixture.tell(CoreFixture::answerTo(Sent, 500));
  const auto Later = Fixture.pass(seconds(1));
  CHECK(countSent(Actions) + countSent(Later) == 0);
  // The answer of the target is better than none.
  CHECK(CoreFixture::only<AnswerCall>(Later).size() == 1);
}

TEST_CASE("a target that starts anew while its zone is out gets nothing",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto Sent = sendOne(Fixture, CoreFixture::call(1));
  Fixture.tellDocument(true);
  auto Answer = CoreFixture::answerTo(Sent);
  Answer.StartId_ = framework::Incarnation(2);
  Fixture.tell(Answer);
  CHECK(countSent(Fixture.tell(CoreFixture::call(2))) == 0);
  CHECK(countSent(Fixture.pass(seconds(3))) == 0);
}

TEST_CASE("running work on a leaving target is answered", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto Sent = sendOne(Fixture, CoreFixture::call(1, false));
  const auto Told = Fixture.tellDocument(true);
  CHECK(CoreFixture::only<CloseConnection>(Told).empty());
  Fixture.pass(milliseconds(1500));
  CHECK(CoreFixture::only<AnswerCall>(Fixture.tell(CoreFixture::answerTo(Sent)))
            .size() == 1);
}

TEST_CASE("a woken instance asks before it sends anything", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  Fixture.publishInstances(true);
  Fixture.pause(seconds(40));
  ActionList Actions = Fixture.tell(CoreFixture::call(1));
  CHECK(countSent(Actions) == 0);
  const auto Later = Fixture.pass(milliseconds(490));
  Actions.insert(Actions.end(), Later.begin(), Later.end());
  bool HasAskedForDocument = false;
  bool HasAskedForInstances = false;
  for (const Action &Asked : Actions) {
    HasAskedForDocument |= std::holds_alternative<ReadDocument>(Asked);
    HasAskedForInstances |= std::holds_alternative<ReadInstances>(Asked);
    if (const auto *Sent = std::get_if<SendAttempt>(&Asked)) {
      CHECK(HasAskedForDocument);
      CHECK(HasAskedForInstances);
      // The first target was leaving by then.
      CHECK(Sent->Target_ == framework::TargetId(1));
    }
  }
  CHECK(HasAskedForDocument);
  CHECK(HasAskedForInstances);
}

TEST_CASE("what was written before a pause ends as unknown", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  sendOne(Fixture, CoreFixture::call(1, false));
  Fixture.pause(seconds(40));
  const auto Woken = Fixture.tell(Tick{});
  const auto Refused = CoreFixture::only<RefuseCall>(Woken);
  REQUIRE(Refused.size() == 1);
  CHECK(Refused.front().Ending_ == calls::Ending::Unknown);
  CHECK(countSent(Woken) + countSent(Fixture.pass(seconds(2))) == 0);
}

TEST_CASE("a stop waits for slow work and then ends", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto Sent = sendOne(Fixture, CoreFixture::call(1, false));
  Fixture.tell(StopRequested{});
  // The caller is told at the deadline; the work at the target is not cut.
  const auto Waiting = Fixture.pass(seconds(10));
  CHECK(CoreFixture::only<RefuseCall>(Waiting).size() == 1);
  CHECK(CoreFixture::only<FinishStop>(Waiting).empty());
  const auto Done = Fixture.tell(CoreFixture::answerTo(Sent));
  CHECK(CoreFixture::only<FinishStop>(Done).size() == 1);
}

TEST_CASE("a stop does not wait for ever for a silent target", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  sendOne(Fixture, CoreFixture::call(1, false));
  Fixture.tell(StopRequested{});
  CHECK(CoreFixture::only<FinishStop>(Fixture.pass(seconds(40))).size() == 1);
}

TEST_CASE("a stopping instance still tries again", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  Fixture.tell(StopRequested{});
  const auto First = sendOne(Fixture, CoreFixture::call(1));
  const auto Second = CoreFixture::only<SendAttempt>(
      Fixture.tell(CoreFixture::answerTo(First, 500)));
  REQUIRE(Second.size() == 1);
  CHECK(CoreFixture::only<AnswerCall>(
            Fixture.tell(CoreFixture::answerTo(Second.front())))
            .size() == 1);
}

TEST_CASE("a reset during a stop ends calls by the usual rules", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto Sent = sendOne(Fixture, CoreFixture::call(1, false));
  Fixture.tell(StopRequested{});
  const auto Lost = Fixture.tell(
      AttemptFailed{.Attempt_ = Sent.Attempt_,
                    .Connection_ = Sent.Connection_,
                    .Failure_ = calls::AttemptFailure::ConnectionReset});
  const auto Refused = CoreFixture::only<RefuseCall>(Lost);
  REQUIRE(Refused.size() == 1);
  CHECK(Refused.front().Ending_ == calls::Ending::Unknown);
  CHECK(CoreFixture::only<FinishStop>(Fixture.pass(seconds(4))).size() == 1);
}

TEST_CASE("a pause during a stop cuts nothing", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  Fixture.tell(StopRequested{});
  const auto Sent = sendOne(Fixture, CoreFixture::call(1, false));
  Fixture.pause(milliseconds(1500));
  const auto Woken = Fixture.tell(CoreFixture::answerTo(Sent));
  CHECK(CoreFixture::only<AnswerCall>(Woken).size() == 1);
  CHECK(CoreFixture::only<FinishStop>(Fixture.pass(seconds(4))).size() == 1);
}
