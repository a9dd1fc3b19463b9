#include "calls/endingtoken.h"

#include <catch2/catch.hpp>

#include <type_traits>
#include <utility>

using namespace cranberryspool;
using namespace cranberryspool::calls;

static_assert(!std::is_copy_constructible_v<EndingToken>);
static_assert(!std::is_copy_assignable_v<EndingToken>);
static_assert(!std::is_default_constructible_v<CallEnding>);

TEST_CASE("an ending is consumed by being told", "[calls]") {
  EndingToken Right(framework::CallId(7));
  EndingToken Moved = std::move(Right);
  REQUIRE(Moved.isPending());
  const CallEnding Told = std::move(Moved).refuse(
      Ending::Unknown, EndingReason::ConnectionLost, std::chrono::seconds(1));
  CHECK(Told.call() == framework::CallId(7));
  CHECK(Told.ending() == Ending::Unknown);
  CHECK_FALSE(Told.attempt().has_value());
}
