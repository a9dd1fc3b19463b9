#include "decision/tests/fleetsimulation.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::decision;
using framework::Duration;
using std::chrono::seconds;

namespace {

/// The time from the beginning of a cut until callers must be served again.
constexpr Duration TimeToRecover = seconds(3);
/// The share of calls that must be answered at instances that are cut off, of
/// that at the others.
constexpr double MinRelativeShare = 2.0 / 3.0;

} // namespace

TEST_CASE("callers of instances that reach no target are served",
          "[cutoff]"
          "[!shouldfail]") {
  const std::size_t CutOff = GENERATE(1, 8);
  FleetSimulation Fleet{FleetSimulationSettings()};
  Fleet.run(seconds(6));
  for (std::size_t Instance = 0; Instance < CutOff; ++Instance)
    Fleet.setCutOffFromTargets(Instance, true);
  const auto Since = Fleet.now() + TimeToRecover;
  Fleet.run(seconds(15));
  INFO("instances cut off " << CutOff);
  CHECK(Fleet.answeredShare(true, Since) >=
        MinRelativeShare * Fleet.answeredShare(false, Since));
}
