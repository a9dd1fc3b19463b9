#include "decision/tests/corefixture.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::decision;
using framework::CallId;
using std::chrono::milliseconds;

namespace {

SendAttempt sentOf(const ActionList &Actions) {
  const auto Sent = CoreFixture::only<SendAttempt>(Actions);
  REQUIRE(Sent.size() == 1);
  return Sent.front();
}

/// Lets a call arrive and returns its first attempt, which may need a new
/// connection first.
SendAttempt firstAttempt(CoreFixture &Fixture, const CallArrived &Arrival) {
  ActionList Actions = Fixture.tell(Arrival);
  const ActionList Later = Fixture.pass(milliseconds(2));
  Actions.insert(Actions.end(), Later.begin(), Later.end());
  return sentOf(Actions);
}

RefuseCall refusalOf(const ActionList &Actions) {
  const auto Refused = CoreFixture::only<RefuseCall>(Actions);
  REQUIRE(Refused.size() == 1);
  return Refused.front();
}

} // namespace

TEST_CASE("a call without a document is refused as not run", "[decision]") {
  CoreFixture Fixture;
  const auto Refusal = refusalOf(Fixture.tell(Fixture.call(1)));
  CHECK(Refusal.Call_ == CallId(1));
  CHECK(Refusal.Ending_ == calls::Ending::NotRun);
}

TEST_CASE("a call goes over a warm connection and is answered", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto Sent = sentOf(Fixture.tell(Fixture.call(1)));
  CHECK(Sent.Call_ == CallId(1));
  CHECK(Sent.Depth_ == 1);
  CHECK(Sent.AttemptMark_ == 1);
  CHECK(Sent.Timeout_ == milliseconds(500));
  const auto Actions = Fixture.tell(Fixture.answerTo(Sent));
  const auto Answered = CoreFixture::only<AnswerCall>(Actions);
  REQUIRE(Answered.size() == 1);
  CHECK(Answered.front().Attempt_ == Sent.Attempt_);
}

TEST_CASE("a request of no kind is refused as not run", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  CallArrived Arrival = Fixture.call(1);
  Arrival.Path_ = "/elsewhere";
  const auto Refusal = refusalOf(Fixture.tell(Arrival));
  CHECK(Refusal.Reason_ == calls::EndingReason::NoSuchKind);
}

TEST_CASE("a lost attempt that must not run twice ends as unknown at once",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto Sent = firstAttempt(Fixture, Fixture.call(1, false));
  const auto Actions = Fixture.tell(AttemptFailed{
      .Attempt_ = Sent.Attempt_, .Connection_ = Sent.Connection_});
  CHECK(CoreFixture::only<SendAttempt>(Actions).empty());
  const auto Refusal = refusalOf(Actions);
  CHECK(Refusal.Ending_ == calls::Ending::Unknown);
  CHECK(Refusal.RetryAfter_ > framework::Duration::zero());
}

TEST_CASE("an attempt of which nothing was written is sent again",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto First = firstAttempt(Fixture, Fixture.call(1, false));
  Fixture.tell(AttemptFailed{.Attempt_ = First.Attempt_,
                             .Connection_ = First.Connection_,
                             .Written_ = calls::WriteState::NothingWritten});
  const auto Second = sentOf(Fixture.pass(milliseconds(2)));
  CHECK(Second.Target_ != First.Target_);
}

TEST_CASE("an answer to another attempt is not an answer", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto Sent = firstAttempt(Fixture, Fixture.call(1, false));
  auto Crossed = Fixture.answerTo(Sent);
  Crossed.EchoedAttempt_ = framework::AttemptId(99);
  const auto Actions = Fixture.tell(Crossed);
  CHECK(CoreFixture::only<AnswerCall>(Actions).empty());
  CHECK(refusalOf(Actions).Ending_ == calls::Ending::Unknown);
  const auto Closed = CoreFixture::only<CloseConnection>(Actions);
  REQUIRE(Closed.size() == 1);
  CHECK(Closed.front().Connection_ == Sent.Connection_);
}

TEST_CASE("a deadline ends the call but not a run that must not be cut",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto Sent = firstAttempt(Fixture, Fixture.call(1, false));
  const auto Late = Fixture.pass(milliseconds(2001));
  CHECK(refusalOf(Late).Ending_ == calls::Ending::Unknown);
  for (const CloseConnection &Closed : CoreFixture::only<CloseConnection>(Late))
    CHECK(Closed.Connection_ != Sent.Connection_);
  const auto After = Fixture.tell(Fixture.answerTo(Sent));
  CHECK(CoreFixture::only<AnswerCall>(After).empty());
  const auto Closed = CoreFixture::only<CloseConnection>(After);
  REQUIRE(Closed.size() == 1);
  CHECK(Closed.front().Connection_ == Sent.Connection_);
}

TEST_CASE("a stopping instance answers what it accepted, then finishes",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto Unready = Fixture.tell(StopRequested{});
  REQUIRE(CoreFixture::only<SetReadiness>(Unready).size() == 1);
  CHECK_FALSE(CoreFixture::only<SetReadiness>(Unready).front().IsReady_);
  const auto Sent = firstAttempt(Fixture, Fixture.call(1, false));
  Fixture.pass(milliseconds(1900));
  const auto Answered = Fixture.tell(Fixture.answerTo(Sent));
  CHECK(CoreFixture::only<AnswerCall>(Answered).size() == 1);
  const auto Finished = Fixture.pass(milliseconds(1200));
  CHECK(CoreFixture::only<FinishStop>(Finished).size() == 1);
  const auto Refusal = refusalOf(Fixture.tell(Fixture.call(2)));
  CHECK(Refusal.Reason_ == calls::EndingReason::InstanceStopping);
}

TEST_CASE("the status tells what the core believes", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  firstAttempt(Fixture, Fixture.call(1));
  Fixture.tellInstances(true);
  const CoreStatus Status = Fixture.Core_.status();
  CHECK(Status.IsReady_);
  CHECK(Status.IsViewFresh_);
  CHECK(Status.Calls_ == 1);
  CHECK(Status.Attempts_ == 1);
  CHECK(Status.DocumentRevision_ == framework::Revision(1));
  // An instance is not its own peer.
  CHECK(Status.Peers_.empty());
  REQUIRE(Status.Targets_.size() == 2);
  CHECK(Status.Targets_[0].Condition_ == TargetCondition::Leaving);
  CHECK(Status.Targets_[1].Condition_ == TargetCondition::InService);
  CHECK(Status.Targets_[0].InFlight_ + Status.Targets_[1].InFlight_ == 1);
}

TEST_CASE("ended calls are told once", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto Sent = firstAttempt(Fixture, Fixture.call(1));
  Fixture.pass(milliseconds(3));
  Fixture.tell(Fixture.answerTo(Sent));
  const auto Ended = Fixture.Core_.takeEndedCalls();
  REQUIRE(Ended.size() == 1);
  CHECK(Ended.front().Call_ == CallId(1));
  CHECK(Ended.front().Service_ == framework::ServiceName("certdesk"));
  CHECK(Ended.front().Urgency_ == document::Urgency::Urgent);
  CHECK(Ended.front().Ending_ == calls::Ending::Answered);
  CHECK(Ended.front().Status_ == 200);
  CHECK(Ended.front().Elapsed_ >= milliseconds(3));
  CHECK(Fixture.Core_.takeEndedCalls().empty());
}

TEST_CASE("a new instance takes no target for one that started anew",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.publishDocument(false);
  Fixture.publishInstances(false);
  Fixture.tell(Tick{});
  // The list and the document arrive one after the other.
  const auto Actions = Fixture.pass(milliseconds(500));
  CHECK(Fixture.Core_.status().Targets_.size() == 2);
  for (const ReportChange &Change : CoreFixture::only<ReportChange>(Actions))
    CHECK(Change.Kind_ != ChangeKind::TargetCold);
}
