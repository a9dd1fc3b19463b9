#include "decision/tests/randomsimulation.h"

#include <catch2/catch.hpp>

using namespace cranberryspool::decision;

TEST_CASE("every call ends exactly once and with a true result", "[decision]") {
  constexpr std::uint64_t Seeds = 250;
  constexpr std::uint32_t Steps = 1200;
  std::uint64_t Answered = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t Silent = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    RandomSimulation Simulation(Seed);
    Simulation.run(Steps);
    Simulation.finish();
    Answered += Simulation.counters().CallsAnswered_;
    Unknown += Simulation.counters().CallsUnknown_;
    NotRun += Simulation.counters().CallsNotRun_;
    Hedges += Simulation.counters().HedgesSent_;
    Silent += Simulation.counters().ConnectionsSilent_;
    INFO("seed " << Seed);
    if (!Simulation.violations().empty())
      FAIL(Simulation.violations().front());
  }
  // All endings must occur, or the checks above are not exercised.
  CHECK(Answered > Seeds * 20);
  CHECK(Unknown > Seeds);
  CHECK(NotRun > Seeds);
  CHECK(Hedges > 0);
  CHECK(Silent > 0);
}
