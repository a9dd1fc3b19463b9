#include "routing/policies/randompolicy.h"
#include "routing/targettable.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::framework;
using namespace cranberryspool::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

Instant at(Duration Time) { return Instant(seconds(100)) + Time; }

/// Three targets with three slots that report their slowness.
struct Fixture {
  TargetTable<RandomPolicy> Table_{ZoneId(0), RandomPolicy(), Random(7)};

  Fixture() {
    std::vector<TargetDescription> Targets(3);
    for (std::uint32_t Index = 0; Index < 3; ++Index) {
      Targets[Index].Target_ = TargetId(Index);
      Targets[Index].Slots_ = 3;
      Targets[Index].WarmupLeft_ = Duration{};
    }
    Table_.setTargets(Targets, at({}));
    TargetLimits Bounds;
    Bounds.MaxConnections_ = 50;
    for (std::uint32_t Index = 0; Index < 3; ++Index)
      Table_.setLimits(TargetId(Index), Bounds);
  }

  void report(std::uint32_t Target, std::uint32_t Queued, Duration When) {
    LoadReport Report;
    Report.Queued_ = Queued;
    Report.Slots_ = 3;
    Report.SlowdownPercent_ = 100;
    Table_.recordReport(TargetId(Target), Report, at(When));
  }

  void failToConnect(std::uint32_t Target, Duration When) {
    Table_.recordSent(TargetId(Target), at(When));
    Table_.recordEnded(TargetId(Target), AttemptResult::NotConnected,
                       milliseconds(1), at(When));
  }

  /// Returns whether the target is chosen at all at that time.
  bool isChosen(std::uint32_t Target, Duration When) {
    for (int Try = 0; Try < 100; ++Try)
      if (Table_.choose({ServiceId(0)}, at(When)) == TargetId(Target))
        return true;
    return false;
  }
};

} // namespace

TEST_CASE("targets that cannot be connected to get nothing, however many",
          "[reach]") {
  Fixture World;
  World.failToConnect(0, milliseconds(10));
  World.failToConnect(1, milliseconds(10));
  CHECK_FALSE(World.isChosen(0, milliseconds(900)));
  CHECK_FALSE(World.isChosen(1, milliseconds(900)));
  CHECK(World.isChosen(2, milliseconds(900)));
}

TEST_CASE("a report shows that a target can be reached again", "[reach]") {
  Fixture World;
  World.failToConnect(0, milliseconds(10));
  World.report(0, 0, milliseconds(200));
  CHECK(World.isChosen(0, milliseconds(210)));
}

TEST_CASE("without a report an unreachable target is tried again", "[reach]") {
  Fixture World;
  World.failToConnect(0, milliseconds(10));
  CHECK(World.isChosen(0, milliseconds(1'100)));
}

TEST_CASE("two probes without an answer make a target unreachable", "[reach]") {
  Fixture World;
  World.Table_.recordProbeFailure(TargetId(0), at(milliseconds(10)));
  CHECK(World.isChosen(0, milliseconds(20)));
  World.Table_.recordProbeFailure(TargetId(0), at(milliseconds(110)));
  CHECK_FALSE(World.isChosen(0, milliseconds(120)));
}

TEST_CASE("a target that has just reported a queue gets nothing", "[reach]") {
  Fixture World;
  World.report(0, 5, milliseconds(100));
  World.report(1, 4, milliseconds(100));
  CHECK_FALSE(World.isChosen(0, milliseconds(250)));
  CHECK(World.isChosen(1, milliseconds(250)));
  CHECK(World.isChosen(0, milliseconds(310)));
}
