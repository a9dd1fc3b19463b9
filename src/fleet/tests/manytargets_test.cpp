#include "fleet/tests/seededsimulation.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::fleet;
using framework::Instant;

namespace {

const std::vector<std::string> Zones{"a", "b", "c", "d", "e"};
constexpr int Targets = 719;
constexpr auto ProbeStep = milliseconds(50);

/// A fleet that probes the targets of a large deployment whenever it may.
/// Probes are answered at once.
struct ManyTargets : SeededSimulation {
  explicit ManyTargets(int Instances)
      : SeededSimulation(Instances, Zones, Targets) {
    for (int Index = 0; Index < Targets; ++Index)
      Names_.emplace_back("t" + std::to_string(Index));
  }

  /// Returns the number of probes of targets in other zones.
  std::size_t passProbing(framework::Duration Time) {
    std::size_t Probes = 0;
    const Instant End = Now_.Monotonic_ + Time;
    while (Now_.Monotonic_ < End) {
      pass(ProbeStep);
      for (std::size_t Each = 0; Each < Instances_.size(); ++Each)
        Probes += probeAll(Each);
    }
    return Probes;
  }

  std::size_t probeAll(std::size_t Instance) {
    SeededFleet &Prober = Instances_[Instance];
    std::size_t OfOtherZones = 0;
    for (std::size_t Target = 0; Target < Names_.size(); ++Target) {
      if (!Prober.mayProbe(Names_[Target], {}, Now_.Monotonic_))
        continue;
      Prober.recordProbe(Names_[Target], Now_.Monotonic_);
      routing::LoadReport Report;
      Report.WarmupLeft_ = framework::Duration::zero();
      Prober.recordLoad(Names_[Target], Report, Now_.Monotonic_);
      OfOtherZones += (Instance + 1) % 5 != Target % 5 ? 1U : 0U;
    }
    return OfOtherZones;
  }

  std::vector<framework::TargetName> Names_;
};

} // namespace

TEST_CASE("targets are not probed from other zones whose instances hear of "
          "their health",
          "[manytargets]") {
  const int Instances = GENERATE(48, 129, 312);
  ManyTargets Fleet(Instances);
  Fleet.pass(seconds(5));
  Fleet.passProbing(seconds(2));
  CAPTURE(Instances);
  CHECK(Fleet.passProbing(seconds(1)) == 0);
}
