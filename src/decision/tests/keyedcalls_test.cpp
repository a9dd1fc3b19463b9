#include "decision/tests/corefixture.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::decision;
using framework::CallId;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A UUID version 7 whose time lies within the fixture's run.
constexpr const char *Key = "00003b9b-1050-7000-8000-000000000001";

CallArrived keyedCall(std::uint64_t Id) {
  CallArrived Arrival = CoreFixture::call(Id, false);
  Arrival.Key_ = framework::IdempotencyKey(Key);
  return Arrival;
}

ActionList tellAndWait(CoreFixture &Fixture, const Event &Input) {
  ActionList Actions = Fixture.tell(Input);
  const ActionList Later = Fixture.pass(milliseconds(5));
  Actions.insert(Actions.end(), Later.begin(), Later.end());
  return Actions;
}

SendAttempt runFirst(CoreFixture &Fixture) {
  Fixture.startUp();
  Fixture.pass(seconds(10));
  const auto Sent =
      CoreFixture::only<SendAttempt>(tellAndWait(Fixture, keyedCall(1)));
  REQUIRE(Sent.size() == 1);
  return Sent.front();
}

RefuseCall refusalOf(const ActionList &Actions) {
  const auto Refused = CoreFixture::only<RefuseCall>(Actions);
  REQUIRE(Refused.size() == 1);
  return Refused.front();
}

} // namespace

TEST_CASE("a repeat with the same key gets the first answer", "[decision]") {
  CoreFixture Fixture;
  const auto Sent = runFirst(Fixture);
  const auto Answered = Fixture.tell(CoreFixture::answerTo(Sent));
  REQUIRE(CoreFixture::only<KeepAnswer>(Answered).size() == 1);
  const auto Repeat = tellAndWait(Fixture, keyedCall(2));
  CHECK(CoreFixture::only<SendAttempt>(Repeat).empty());
  const auto Fetch = CoreFixture::only<FetchKeptAnswer>(Repeat);
  REQUIRE(Fetch.size() == 1);
  CHECK(Fetch.front().PeerCall_ == CallId(1));
  const auto Replayed = Fixture.tell(KeptAnswerFetched{CallId(2), true});
  CHECK(CoreFixture::only<ReplayKeptAnswer>(Replayed).size() == 1);
  tellAndWait(Fixture, keyedCall(3));
  const auto Gone =
      refusalOf(Fixture.tell(KeptAnswerFetched{CallId(3), false}));
  CHECK(Gone.Ending_ == calls::Ending::Unknown);
  CHECK(Gone.Reason_ == calls::EndingReason::KeyAnswerGone);
}

TEST_CASE("a repeat beside the running call does not run", "[decision]") {
  CoreFixture Fixture;
  runFirst(Fixture);
  const auto Repeat = tellAndWait(Fixture, keyedCall(2));
  CHECK(CoreFixture::only<SendAttempt>(Repeat).empty());
  const auto Refused = refusalOf(Repeat);
  CHECK(Refused.Ending_ == calls::Ending::Unknown);
  CHECK(Refused.Reason_ == calls::EndingReason::KeyInProgress);
  CHECK(Refused.RetryAfter_ > framework::Duration::zero());
}

TEST_CASE("a key whose call is lost does not run again", "[decision]") {
  CoreFixture Fixture;
  const auto Sent = runFirst(Fixture);
  refusalOf(Fixture.tell(AttemptFailed{.Attempt_ = Sent.Attempt_,
                                       .Connection_ = Sent.Connection_}));
  const auto Repeat = tellAndWait(Fixture, keyedCall(2));
  CHECK(CoreFixture::only<SendAttempt>(Repeat).empty());
  CHECK(refusalOf(Repeat).Ending_ == calls::Ending::Unknown);
}

TEST_CASE("a key that is no UUID version 7 is refused as not run",
          "[decision]") {
  CoreFixture Fixture;
  runFirst(Fixture);
  CallArrived Arrival = CoreFixture::call(2, false);
  Arrival.Key_ = framework::IdempotencyKey("not-a-key");
  const auto Refused = refusalOf(tellAndWait(Fixture, Arrival));
  CHECK(Refused.Ending_ == calls::Ending::NotRun);
  CHECK(Refused.Reason_ == calls::EndingReason::KeyInvalid);
}
