#include "calls/connectionpool.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::calls;
using framework::AttemptId;
using framework::Instant;
using framework::TargetId;
using std::chrono::seconds;

TEST_CASE("a pool does not exceed its connection limit", "[calls]") {
  ConnectionPool Pool;
  const TargetId Target(0);
  CHECK_FALSE(Pool.mayOpen(Target));
  Pool.setLimit(Target, 2);
  Pool.addWaiter(Target, AttemptId(1));
  Pool.addWaiter(Target, AttemptId(2));
  Pool.addWaiter(Target, AttemptId(3));
  CHECK(Pool.connectionsToOpen(Target, 1) == 2);
  Pool.open(Target, Instant{});
  CHECK(Pool.connectionsToOpen(Target, 1) == 1);
  Pool.open(Target, Instant{});
  CHECK(Pool.connectionsToOpen(Target, 1) == 0);
  CHECK_FALSE(Pool.mayOpen(Target));
}

TEST_CASE("the connection with the most recent activity is used first",
          "[calls]") {
  ConnectionPool Pool;
  const TargetId Target(0);
  Pool.setLimit(Target, 4);
  const auto Old = Pool.open(Target, Instant{});
  const auto New = Pool.open(Target, Instant{});
  Pool.markIdle(Old, Instant{} + seconds(1));
  Pool.markIdle(New, Instant{} + seconds(5));
  CHECK(Pool.mostRecentIdle(Target, Instant::min()) == New);
  CHECK_FALSE(Pool.mostRecentIdle(Target, Instant{} + seconds(6)).has_value());
  Pool.assign(New, AttemptId(1));
  CHECK(Pool.mostRecentIdle(Target, Instant::min()) == Old);
  CHECK(Pool.idleBefore(Target, Instant{} + seconds(2)).size() == 1);
  Pool.remove(Old);
  Pool.remove(New);
  CHECK(Pool.count(Target) == 0);
}

TEST_CASE("waiting attempts are served in FIFO order", "[calls]") {
  ConnectionPool Pool;
  const TargetId Target(0);
  Pool.addWaiter(Target, AttemptId(1));
  Pool.addWaiter(Target, AttemptId(2));
  Pool.addWaiter(Target, AttemptId(3));
  Pool.removeWaiter(Target, AttemptId(2));
  CHECK(Pool.takeWaiter(Target) == AttemptId(1));
  CHECK(Pool.takeWaiter(Target) == AttemptId(3));
  CHECK_FALSE(Pool.takeWaiter(Target).has_value());
}
