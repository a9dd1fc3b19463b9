#include "decision/tests/storefixture.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::decision;
using std::chrono::milliseconds;

TEST_CASE("a refused call is not sent again on the connection that refused it, "
          "where the refusal may be written twice",
          "[decision]") {
  StoreFixture Fixture;
  const auto Path = GENERATE("/a/x", "/b/x");
  // Two of the three targets leave, so that the call has one target.
  Fixture.deliver(RecordsChanged{{{"s1-2", "", framework::Revision(6), true},
                                  {"s1-3", "", framework::Revision(7), true}},
                                 framework::Revision(7)});
  const auto First =
      StoreFixture::actionsOf<SendAttempt>(Fixture.sendCall(1, Path));
  REQUIRE(First.size() == 1);
  AttemptAnswered Refusal = StoreFixture::makeAnswer(First.front(), 503);
  Refusal.IsNotRun_ = true;
  Refusal.EchoedAttempt_ = First.front().Attempt_;
  Refusal.IsReusable_ = true;
  auto Actions = Fixture.deliver(Refusal);
  const auto Later = Fixture.pass(milliseconds(300));
  Actions.insert(Actions.end(), Later.begin(), Later.end());
  const auto Second = StoreFixture::actionsOf<SendAttempt>(Actions);
  REQUIRE(Second.size() == 1);
  CHECK(Second.front().Target_ == First.front().Target_);
  CHECK(Second.front().Connection_ != First.front().Connection_);
}
