#include "routing/policies/reportedloadpolicy.h"
#include "routing/targettable.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::framework;
using namespace cranberryspool::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

Instant at(Duration Time) { return Instant(seconds(100)) + Time; }

struct Fixture {
  TargetTable<ReportedLoadPolicy> Table_{ZoneId(0), ReportedLoadPolicy(),
                                         Random(7)};

  std::vector<TargetDescription> Targets_ = std::vector<TargetDescription>(2);

  /// By default the second target is in another availability zone.
  explicit Fixture(const std::vector<ZoneId> &Zones = {ZoneId(0), ZoneId(1)}) {
    for (std::uint32_t Index = 0; Index < 2; ++Index) {
      Targets_[Index].Target_ = TargetId(Index);
      Targets_[Index].Zone_ = Zones[Index];
      Targets_[Index].Slots_ = 3;
      Targets_[Index].WarmupLeft_ = Duration{};
    }
    Table_.setTargets(Targets_, at({}));
    TargetLimits Bounds;
    Bounds.MaxConnections_ = 50;
    for (std::uint32_t Index = 0; Index < 2; ++Index) {
      Table_.setLimits(TargetId(Index), Bounds);
      Table_.recordSent(TargetId(Index), at({}));
      Table_.recordEnded(TargetId(Index), AttemptResult::Answered,
                         milliseconds(100), at(milliseconds(100)));
    }
  }

  /// A target that is warm after three seconds joins.
  void join(TargetId Target, double Rate) {
    Targets_.push_back(Targets_.back());
    Targets_.back().Target_ = Target;
    Targets_.back().Start_ = Incarnation(9);
    Targets_.back().WarmupLeft_ = seconds(3);
    Table_.setTargets(Targets_, at(milliseconds(200)));
    TargetLimits Bounds;
    Bounds.MaxConnections_ = 50;
    Bounds.ColdRequestsPerSecond_ = Rate;
    Table_.setLimits(Target, Bounds);
  }

  void report(std::uint32_t Target, std::uint32_t Running, std::uint32_t Slow,
              Duration When) {
    LoadReport Report;
    Report.InFlight_ = Running;
    Report.Slots_ = 3;
    Report.SlowdownPercent_ = Slow;
    Table_.recordReport(TargetId(Target), Report, at(When));
  }

  TargetId choose(Duration When, std::span<const std::uint32_t> Idle = {}) {
    SelectionRequest Request{ServiceId(0)};
    Request.IdleConnections_ = Idle;
    return *Table_.choose(Request, at(When));
  }
};

} // namespace

TEST_CASE("the own zone is preferred between equals", "[routing]") {
  Fixture World;
  World.report(0, 0, 100, milliseconds(200));
  World.report(1, 0, 100, milliseconds(200));
  CHECK(World.choose(milliseconds(210)) == TargetId(0));
}

TEST_CASE("a target with an idle connection is preferred between equals",
          "[routing]") {
  Fixture World({ZoneId(0), ZoneId(0)});
  World.report(0, 0, 100, milliseconds(200));
  World.report(1, 0, 100, milliseconds(200));
  const std::vector<std::uint32_t> Idle = {0, 1};
  for (int Round = 0; Round < 20; ++Round)
    CHECK(World.choose(milliseconds(210), Idle) == TargetId(1));
}

TEST_CASE("a slow target is left although a connection to it is idle",
          "[routing]") {
  Fixture World({ZoneId(0), ZoneId(0)});
  World.report(0, 0, 100, milliseconds(200));
  World.report(1, 0, 150, milliseconds(200));
  const std::vector<std::uint32_t> Idle = {0, 1};
  CHECK(World.choose(milliseconds(210), Idle) == TargetId(0));
}

TEST_CASE("a target that joined is tried once by those who share its rate",
          "[routing]") {
  const double Rate = GENERATE(0.0, 2.0);
  Fixture World({ZoneId(0), ZoneId(0)});
  World.join(TargetId(2), Rate);
  World.report(0, 0, 100, milliseconds(4'000));
  World.report(1, 0, 100, milliseconds(4'000));
  World.report(2, 0, 200, milliseconds(4'000));
  const bool IsTried = World.choose(milliseconds(4'010)) == TargetId(2);
  CHECK(IsTried == (Rate > 0));
  World.Table_.recordSent(TargetId(2), at(milliseconds(4'010)));
  CHECK(World.choose(milliseconds(4'020)) != TargetId(2));
}

TEST_CASE("a slow target is left for one of another zone", "[routing]") {
  Fixture World;
  World.report(0, 0, 700, milliseconds(200));
  World.report(1, 0, 100, milliseconds(200));
  CHECK(World.choose(milliseconds(210)) == TargetId(1));
}

TEST_CASE("a full target is left for one of another zone", "[routing]") {
  Fixture World;
  World.report(0, 3, 100, milliseconds(200));
  World.report(1, 0, 100, milliseconds(200));
  CHECK(World.choose(milliseconds(210)) == TargetId(1));
}

TEST_CASE("an old report counts for little", "[routing]") {
  Fixture World;
  World.report(0, 0, 300, milliseconds(200));
  World.report(1, 0, 300, milliseconds(200));
  World.report(1, 0, 100, milliseconds(210));
  CHECK(World.choose(milliseconds(220)) == TargetId(1));
  CHECK(World.choose(seconds(4)) == TargetId(0));
}

TEST_CASE("a report that comes late does not replace a newer one",
          "[routing]") {
  Fixture World;
  World.report(1, 0, 100, milliseconds(200));
  World.report(0, 0, 100, milliseconds(300));
  World.report(0, 0, 700, milliseconds(250));
  CHECK(World.choose(milliseconds(310)) == TargetId(0));
}

TEST_CASE("what was sent since a report counts", "[routing]") {
  Fixture World;
  World.report(0, 0, 100, milliseconds(200));
  World.report(1, 0, 100, milliseconds(200));
  for (int Sent = 0; Sent < 3; ++Sent)
    World.Table_.recordSent(TargetId(0), at(milliseconds(205)));
  CHECK(World.choose(milliseconds(210)) == TargetId(1));
}
