#include "framework/ids.h"
#include "framework/interner.h"

#include <catch2/catch.hpp>

#include <type_traits>

using namespace cranberryspool::framework;

TEST_CASE("ids of different kinds do not convert", "[framework]") {
  STATIC_REQUIRE(!std::is_convertible_v<CallId, AttemptId>);
  STATIC_REQUIRE(!std::is_convertible_v<std::uint64_t, CallId>);
  CHECK(CallId(1) < CallId(2));
}

TEST_CASE("an interner assigns consecutive ids that do not change",
          "[framework]") {
  Interner<TargetName, TargetId> TargetNames;
  const TargetId First = TargetNames.intern(TargetName("a"));
  const TargetId Second = TargetNames.intern(TargetName("b"));
  CHECK(First == TargetId(0));
  CHECK(Second == TargetId(1));
  CHECK(TargetNames.intern(TargetName("a")) == First);
  CHECK(TargetNames.name(Second) == TargetName("b"));
  CHECK_FALSE(TargetNames.find(TargetName("c")).has_value());
}
