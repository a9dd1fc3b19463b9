#include "decision/tests/corefixture.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::decision;
using framework::CallId;
using std::chrono::milliseconds;

namespace {

SendAttempt singleAttempt(const ActionList &Actions) {
  const auto Sent = CoreFixture::actionsOf<SendAttempt>(Actions);
  REQUIRE(Sent.size() == 1);
  return Sent.front();
}

/// Delivers a call and returns its first attempt, which may have to wait for a
/// new connection.
SendAttempt startCall(CoreFixture &Fixture, const CallArrived &Arrival) {
  ActionList Actions = Fixture.deliver(Arrival);
  const ActionList Later = Fixture.pass(milliseconds(2));
  Actions.insert(Actions.end(), Later.begin(), Later.end());
  return singleAttempt(Actions);
}

RefuseCall singleRefusal(const ActionList &Actions) {
  const auto Refused = CoreFixture::actionsOf<RefuseCall>(Actions);
  REQUIRE(Refused.size() == 1);
  return Refused.front();
}

} // namespace

TEST_CASE("a call without a document is refused as not run", "[decision]") {
  CoreFixture Fixture;
  const auto Refusal = singleRefusal(Fixture.deliver(Fixture.makeCall(1)));
  CHECK(Refusal.Call_ == CallId(1));
  CHECK(Refusal.Ending_ == calls::Ending::NotRun);
}

TEST_CASE("a call is sent on an idle connection and answered", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto Sent = singleAttempt(Fixture.deliver(Fixture.makeCall(1)));
  CHECK(Sent.Call_ == CallId(1));
  CHECK(Sent.Depth_ == 1);
  CHECK(Sent.AttemptMark_ == 1);
  CHECK(Sent.Timeout_ == milliseconds(500));
  const auto Actions = Fixture.deliver(Fixture.makeAnswer(Sent));
  const auto Answered = CoreFixture::actionsOf<AnswerCall>(Actions);
  REQUIRE(Answered.size() == 1);
  CHECK(Answered.front().Attempt_ == Sent.Attempt_);
}

TEST_CASE("a request that matches no kind is refused as not run",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  CallArrived Arrival = Fixture.makeCall(1);
  Arrival.Path_ = "/elsewhere";
  const auto Refusal = singleRefusal(Fixture.deliver(Arrival));
  CHECK(Refusal.Reason_ == calls::EndingReason::NoSuchKind);
}

TEST_CASE("a lost non-idempotent attempt ends its call as unknown at once",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto Sent = startCall(Fixture, Fixture.makeCall(1, false));
  const auto Actions = Fixture.deliver(AttemptFailed{
      .Attempt_ = Sent.Attempt_, .Connection_ = Sent.Connection_});
  CHECK(CoreFixture::actionsOf<SendAttempt>(Actions).empty());
  const auto Refusal = singleRefusal(Actions);
  CHECK(Refusal.Ending_ == calls::Ending::Unknown);
  CHECK(Refusal.RetryAfter_ > framework::Duration::zero());
}

TEST_CASE("an attempt of which nothing was written is retried", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto First = startCall(Fixture, Fixture.makeCall(1, false));
  Fixture.deliver(AttemptFailed{.Attempt_ = First.Attempt_,
                                .Connection_ = First.Connection_,
                                .Written_ = calls::WriteState::NothingWritten});
  const auto Second = singleAttempt(Fixture.pass(milliseconds(2)));
  CHECK(Second.Target_ != First.Target_);
}

TEST_CASE("an answer to another attempt is discarded", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto Sent = startCall(Fixture, Fixture.makeCall(1, false));
  auto Mismatched = Fixture.makeAnswer(Sent);
  Mismatched.EchoedAttempt_ = framework::AttemptId(99);
  const auto Actions = Fixture.deliver(Mismatched);
  CHECK(CoreFixture::actionsOf<AnswerCall>(Actions).empty());
  CHECK(singleRefusal(Actions).Ending_ == calls::Ending::Unknown);
  const auto Closed = CoreFixture::actionsOf<CloseConnection>(Actions);
  REQUIRE(Closed.size() == 1);
  CHECK(Closed.front().Connection_ == Sent.Connection_);
}

TEST_CASE("a deadline ends the call but not its non-idempotent attempt",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto Sent = startCall(Fixture, Fixture.makeCall(1, false));
  const auto Late = Fixture.pass(milliseconds(2001));
  CHECK(singleRefusal(Late).Ending_ == calls::Ending::Unknown);
  for (const CloseConnection &Closed :
       CoreFixture::actionsOf<CloseConnection>(Late))
    CHECK(Closed.Connection_ != Sent.Connection_);
  const auto After = Fixture.deliver(Fixture.makeAnswer(Sent));
  CHECK(CoreFixture::actionsOf<AnswerCall>(After).empty());
  const auto Closed = CoreFixture::actionsOf<CloseConnection>(After);
  REQUIRE(Closed.size() == 1);
  CHECK(Closed.front().Connection_ == Sent.Connection_);
}

TEST_CASE("a stopping instance answers all accepted calls before it finishes",
          "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto Unready = Fixture.deliver(StopRequested{});
  REQUIRE(CoreFixture::actionsOf<SetReadiness>(Unready).size() == 1);
  CHECK_FALSE(CoreFixture::actionsOf<SetReadiness>(Unready).front().IsReady_);
  const auto Sent = startCall(Fixture, Fixture.makeCall(1, false));
  Fixture.pass(milliseconds(1900));
  const auto Answered = Fixture.deliver(Fixture.makeAnswer(Sent));
  CHECK(CoreFixture::actionsOf<AnswerCall>(Answered).size() == 1);
  const auto Finished = Fixture.pass(milliseconds(1200));
  CHECK(CoreFixture::actionsOf<FinishStop>(Finished).size() == 1);
  const auto Refusal = singleRefusal(Fixture.deliver(Fixture.makeCall(2)));
  CHECK(Refusal.Reason_ == calls::EndingReason::InstanceStopping);
}

TEST_CASE("the status reflects the state of the core", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  startCall(Fixture, Fixture.makeCall(1));
  Fixture.deliverInstances(true);
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

TEST_CASE("ended calls are returned once", "[decision]") {
  CoreFixture Fixture;
  Fixture.startUp();
  const auto Sent = startCall(Fixture, Fixture.makeCall(1));
  Fixture.pass(milliseconds(3));
  Fixture.deliver(Fixture.makeAnswer(Sent));
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

TEST_CASE("a new instance takes no target for a restarted one", "[decision]") {
  CoreFixture Fixture;
  Fixture.publishDocument(false);
  Fixture.publishInstances(false);
  Fixture.deliver(Tick{});
  // The list and the document arrive one after the other.
  const auto Actions = Fixture.pass(milliseconds(500));
  CHECK(Fixture.Core_.status().Targets_.size() == 2);
  for (const ReportChange &Change :
       CoreFixture::actionsOf<ReportChange>(Actions))
    CHECK(Change.Kind_ != ChangeKind::TargetCold);
}
