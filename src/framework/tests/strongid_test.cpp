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

TEST_CASE("an interner gives dense numbers that stay", "[framework]") {
  Interner<TargetName, TargetId> Names;
  const TargetId First = Names.intern(TargetName("a"));
  const TargetId Second = Names.intern(TargetName("b"));
  CHECK(First == TargetId(0));
  CHECK(Second == TargetId(1));
  CHECK(Names.intern(TargetName("a")) == First);
  CHECK(Names.name(Second) == TargetName("b"));
  CHECK_FALSE(Names.find(TargetName("c")).has_value());
}
