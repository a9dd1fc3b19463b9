#include "decision/tests/fleetsimulation.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::decision;
using framework::Duration;
using framework::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The time from the third crash until all instances must know the request, and
/// the number of its repeats that may reach targets later than that.
constexpr Duration TimeToComply = seconds(3);
constexpr std::size_t MaxLaterRepeats = 3;
constexpr std::size_t ToleratedCrashes = 3;

/// Lets the caller of a crashing request repeat it at random instances.
void repeatCrashingCall(FleetSimulation &Fleet, framework::Random &Rng,
                        std::size_t Instances, Duration Time) {
  const Instant End = Fleet.now() + Time;
  while (Fleet.now() < End) {
    Fleet.sendCrashingCall(Rng.index(Instances));
    Fleet.run(milliseconds(100 + Rng.index(600)));
  }
}

std::size_t laterRepeats(const FleetSimulation &Fleet) {
  REQUIRE(Fleet.crashes().size() >= ToleratedCrashes);
  return Fleet.crashingCallsSentAfter(Fleet.crashes()[ToleratedCrashes - 1] +
                                      TimeToComply);
}

} // namespace

TEST_CASE("a request that has crashed three targets is not sent again by any "
          "instance",
          "[crash][!shouldfail]") {
  FleetSimulationSettings Settings;
  Settings.Seed_ = 1;
  FleetSimulation Fleet(Settings);
  framework::Random Rng(Settings.Seed_);
  Fleet.run(seconds(4));
  repeatCrashingCall(Fleet, Rng, Settings.Instances_, seconds(20));
  CHECK(laterRepeats(Fleet) <= MaxLaterRepeats);
}
