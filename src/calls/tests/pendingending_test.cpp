#include "calls/pendingending.h"

#include <catch2/catch.hpp>

#include <type_traits>
#include <utility>

using namespace cranberryspool;
using namespace cranberryspool::calls;

static_assert(!std::is_copy_constructible_v<PendingEnding>);
static_assert(!std::is_copy_assignable_v<PendingEnding>);
static_assert(!std::is_default_constructible_v<CallEnding>);

TEST_CASE("an ending is consumed by being told", "[calls]") {
  PendingEnding Right(framework::CallId(7));
  PendingEnding Moved = std::move(Right);
  REQUIRE(Moved.isPending());
  const CallEnding Told = std::move(Moved).refuse(
      Ending::Unknown, EndingReason::ConnectionLost, std::chrono::seconds(1));
  CHECK(Told.call() == framework::CallId(7));
  CHECK(Told.ending() == Ending::Unknown);
  CHECK_FALSE(Told.attempt().has_value());
}
