#include "decision/tests/corefixture.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::decision;
using framework::CallId;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A UUID version 7 whose timestamp lies within the simulated time of the
/// fixture.
constexpr const char *Key = "00003b9b-1050-7000-8000-000000000001";

CallArrived makeKeyedCall(std::uint64_t Id) {
  CallArrived Arrival = CoreFixture::makeCall(Id, false);
  Arrival.Key_ = framework::IdempotencyKey(Key);
  return Arrival;
}

ActionList deliverAndWait(CoreFixture &Fixture, const Event &Input) {
  ActionList Actions = Fixture.deliver(Input);
  const ActionList Later = Fixture.pass(milliseconds(5));
  Actions.insert(Actions.end(), Later.begin(), Later.end());
  return Actions;
}

SendAttempt startFirstCall(CoreFixture &Fixture) {
  Fixture.startUp();
  Fixture.pass(seconds(10));
  const auto Sent = CoreFixture::actionsOf<SendAttempt>(
      deliverAndWait(Fixture, makeKeyedCall(1)));
  REQUIRE(Sent.size() == 1);
  return Sent.front();
}

RefuseCall singleRefusal(const ActionList &Actions) {
  const auto Refused = CoreFixture::actionsOf<RefuseCall>(Actions);
  REQUIRE(Refused.size() == 1);
  return Refused.front();
}

} // namespace

TEST_CASE("a second call with the same key gets the first call's answer",
          "[decision]") {
  CoreFixture Fixture;
  const auto Sent = startFirstCall(Fixture);
  const auto Answered = Fixture.deliver(CoreFixture::makeAnswer(Sent));
  REQUIRE(CoreFixture::actionsOf<KeepAnswer>(Answered).size() == 1);
  const auto Repeat = deliverAndWait(Fixture, makeKeyedCall(2));
  CHECK(CoreFixture::actionsOf<SendAttempt>(Repeat).empty());
  const auto Fetch = CoreFixture::actionsOf<FetchKeptAnswer>(Repeat);
  REQUIRE(Fetch.size() == 1);
  CHECK(Fetch.front().PeerCall_ == CallId(1));
  const auto Replayed = Fixture.deliver(KeptAnswerFetched{CallId(2), true});
  CHECK(CoreFixture::actionsOf<ReplayKeptAnswer>(Replayed).size() == 1);
  deliverAndWait(Fixture, makeKeyedCall(3));
  const auto Gone =
      singleRefusal(Fixture.deliver(KeptAnswerFetched{CallId(3), false}));
  CHECK(Gone.Ending_ == calls::Ending::Unknown);
  CHECK(Gone.Reason_ == calls::EndingReason::KeyAnswerGone);
}

TEST_CASE("a second call with the same key does not run while the first runs",
          "[decision]") {
  CoreFixture Fixture;
  startFirstCall(Fixture);
  const auto Repeat = deliverAndWait(Fixture, makeKeyedCall(2));
  CHECK(CoreFixture::actionsOf<SendAttempt>(Repeat).empty());
  const auto Refused = singleRefusal(Repeat);
  CHECK(Refused.Ending_ == calls::Ending::Unknown);
  CHECK(Refused.Reason_ == calls::EndingReason::KeyInProgress);
  CHECK(Refused.RetryAfter_ > framework::Duration::zero());
}

TEST_CASE("a call does not run if an earlier call with its key was lost",
          "[decision]") {
  CoreFixture Fixture;
  const auto Sent = startFirstCall(Fixture);
  singleRefusal(Fixture.deliver(AttemptFailed{
      .Attempt_ = Sent.Attempt_, .Connection_ = Sent.Connection_}));
  const auto Repeat = deliverAndWait(Fixture, makeKeyedCall(2));
  CHECK(CoreFixture::actionsOf<SendAttempt>(Repeat).empty());
  CHECK(singleRefusal(Repeat).Ending_ == calls::Ending::Unknown);
}

TEST_CASE("a call whose key is not a UUID version 7 is refused as not run",
          "[decision]") {
  CoreFixture Fixture;
  startFirstCall(Fixture);
  CallArrived Arrival = CoreFixture::makeCall(2, false);
  Arrival.Key_ = framework::IdempotencyKey("not-a-key");
  const auto Refused = singleRefusal(deliverAndWait(Fixture, Arrival));
  CHECK(Refused.Ending_ == calls::Ending::NotRun);
  CHECK(Refused.Reason_ == calls::EndingReason::KeyInvalid);
}
