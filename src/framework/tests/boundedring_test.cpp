#include "framework/boundedring.h"

#include <catch2/catch.hpp>

#include <string>

using namespace cranberryspool::framework;

TEST_CASE("a full ring refuses and keeps the item with its owner",
          "[framework]") {
  BoundedRing<std::string> Ring(2);
  std::string First = "first";
  std::string Second = "second";
  std::string Third = "third";
  REQUIRE(Ring.tryPush(First));
  REQUIRE(Ring.tryPush(Second));
  REQUIRE_FALSE(Ring.tryPush(Third));
  CHECK(Third == "third");
  CHECK(Ring.tryPop() == "first");
  CHECK(Ring.tryPush(Third));
  CHECK(Ring.tryPop() == "second");
  CHECK(Ring.tryPop() == "third");
  CHECK_FALSE(Ring.tryPop().has_value());
}
