#include "framework/random.h"

#include <catch2/catch.hpp>

using namespace cranberryspool::framework;

TEST_CASE("the same seed gives the same sequence", "[framework]") {
  Random First(7);
  Random Second(7);
  Random Other(8);
  const std::uint64_t Bits = First.bits();
  CHECK(Bits == Second.bits());
  CHECK(Bits != Other.bits());
  CHECK(First.index(10) == Second.index(10));
  CHECK(First.exponential(5.0) == Second.exponential(5.0));
}
