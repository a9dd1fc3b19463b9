#include "framework/boundedqueue.h"

#include <catch2/catch.hpp>

#include <string>

using namespace cranberryspool::framework;

TEST_CASE("a push to a full queue fails and leaves the item unchanged",
          "[framework]") {
  BoundedQueue<std::string> Queue(2);
  std::string First = "first";
  std::string Second = "second";
  std::string Third = "third";
  REQUIRE(Queue.tryPush(First));
  REQUIRE(Queue.tryPush(Second));
  REQUIRE_FALSE(Queue.tryPush(Third));
  CHECK(Third == "third");
  CHECK(Queue.tryPop() == "first");
  CHECK(Queue.tryPush(Third));
  CHECK(Queue.tryPop() == "second");
  CHECK(Queue.tryPop() == "third");
  CHECK_FALSE(Queue.tryPop().has_value());
}
