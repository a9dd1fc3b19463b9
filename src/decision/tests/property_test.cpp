#include "decision/tests/randomsimulation.h"

#include <catch2/catch.hpp>

using namespace cranberryspool::decision;

TEST_CASE("whatever happens, calls end once and truly", "[decision]") {
  constexpr std::uint64_t Seeds = 250;
  constexpr std::uint32_t Steps = 1200;
  std::uint64_t Answered = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t Silent = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    RandomWorld World(Seed);
    World.run(Steps);
    World.finish();
    Answered += World.counters().CallsAnswered_;
    Unknown += World.counters().CallsUnknown_;
    NotRun += World.counters().CallsNotRun_;
    Hedges += World.counters().HedgesSent_;
    Silent += World.counters().ConnectionsSilent_;
    INFO("seed " << Seed);
    if (!World.faults().empty())
      FAIL(World.faults().front());
  }
  // The world must reach all endings, or the checks above see nothing.
  CHECK(Answered > Seeds * 20);
  CHECK(Unknown > Seeds);
  CHECK(NotRun > Seeds);
  CHECK(Hedges > 0);
  CHECK(Silent > 0);
}
