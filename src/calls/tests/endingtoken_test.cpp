#include "calls/endingtoken.h"

#include <catch2/catch.hpp>

#include <type_traits>
#include <utility>

using namespace cranberryspool;
using namespace cranberryspool::calls;

static_assert(!std::is_copy_constructible_v<EndingToken>);
static_assert(!std::is_copy_assignable_v<EndingToken>);
static_assert(!std::is_default_constructible_v<CallEnding>);

TEST_CASE("ending a call consumes the token", "[calls]") {
  EndingToken Token(framework::CallId(7));
  EndingToken Moved = std::move(Token);
  REQUIRE(Moved.isPending());
  const CallEnding Refused = std::move(Moved).refuse(
      Ending::Unknown, EndingReason::ConnectionLost, std::chrono::seconds(1));
  CHECK(Refused.call() == framework::CallId(7));
  CHECK(Refused.ending() == Ending::Unknown);
  CHECK_FALSE(Refused.attempt().has_value());
}
