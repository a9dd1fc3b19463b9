#include "standins/publishedvalue.h"

#include <catch2/catch.hpp>

using namespace cranberryspool::standins;

TEST_CASE("a stale value does not change and a rolled back value has a lower "
          "revision",
          "[standins]") {
  PublishedValue Value;
  Value.publish("one");
  Value.publish("two");
  CHECK(Value.served().Revision_ == 2);
  Value.setMode(PlatformMode::Stale);
  Value.publish("three");
  CHECK(Value.served().Text_ == "two");
  Value.setMode(PlatformMode::RolledBack);
  CHECK(Value.served().Text_ == "two");
  Value.setMode(PlatformMode::Up);
  CHECK(Value.served().Revision_ == 3);
}
