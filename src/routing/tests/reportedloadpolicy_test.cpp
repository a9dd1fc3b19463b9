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

  /// Lists two warm targets. By default the second one is in another
  /// availability zone.
  explicit Fixture(const std::vector<ZoneId> &Zones = {ZoneId(0), ZoneId(1)}) {
    for (std::uint32_t Index = 0; Index < 2; ++Index) {
      Targets_[Index].Target_ = TargetId(Index);
      Targets_[Index].Zone_ = Zones[Index];
      Targets_[Index].Slots_ = 3;
      Targets_[Index].WarmupLeft_ = Duration{};
    }
    Table_.setTargets(Targets_, at({}));
    TargetLimits Limits;
    Limits.MaxConnections_ = 50;
    for (std::uint32_t Index = 0; Index < 2; ++Index) {
      Table_.setLimits(TargetId(Index), Limits);
      Table_.recordSent(TargetId(Index), at({}));
      Table_.recordEnded(TargetId(Index), AttemptResult::Answered,
                         milliseconds(100), at(milliseconds(100)));
    }
  }

  /// Adds a target to the list that is warm after three seconds.
  void addColdTarget(TargetId Target, double Rate) {
    Targets_.push_back(Targets_.back());
    Targets_.back().Target_ = Target;
    Targets_.back().Start_ = Incarnation(9);
    Targets_.back().WarmupLeft_ = seconds(3);
    Table_.setTargets(Targets_, at(milliseconds(200)));
    TargetLimits Limits;
    Limits.MaxConnections_ = 50;
    Limits.ColdRequestsPerSecond_ = Rate;
    Table_.setLimits(Target, Limits);
  }

  void report(std::uint32_t Target, std::uint32_t InFlight,
              std::uint32_t SlowdownPercent, Duration When) {
    LoadReport Report;
    Report.InFlight_ = InFlight;
    Report.Slots_ = 3;
    Report.SlowdownPercent_ = SlowdownPercent;
    Table_.recordReport(TargetId(Target), Report, at(When));
  }

  TargetId choose(Duration When, std::span<const std::uint32_t> Idle = {}) {
    SelectionRequest Request{ServiceId(0)};
    Request.IdleConnections_ = Idle;
    return *Table_.choose(Request, at(When));
  }
};

} // namespace

TEST_CASE("of equal targets the one in the local zone is preferred",
          "[routing]") {
  Fixture Test;
  Test.report(0, 0, 100, milliseconds(200));
  Test.report(1, 0, 100, milliseconds(200));
  CHECK(Test.choose(milliseconds(210)) == TargetId(0));
}

TEST_CASE("of equal targets one with an idle connection is preferred",
          "[routing]") {
  Fixture Test({ZoneId(0), ZoneId(0)});
  Test.report(0, 0, 100, milliseconds(200));
  Test.report(1, 0, 100, milliseconds(200));
  const std::vector<std::uint32_t> Idle = {0, 1};
  for (int Round = 0; Round < 20; ++Round)
    CHECK(Test.choose(milliseconds(210), Idle) == TargetId(1));
}

TEST_CASE("a slow target is avoided although it has an idle connection",
          "[routing]") {
  Fixture Test({ZoneId(0), ZoneId(0)});
  Test.report(0, 0, 100, milliseconds(200));
  Test.report(1, 0, 150, milliseconds(200));
  const std::vector<std::uint32_t> Idle = {0, 1};
  CHECK(Test.choose(milliseconds(210), Idle) == TargetId(0));
}

TEST_CASE("a new target is tried once by an instance with a share of its rate",
          "[routing]") {
  const double Rate = GENERATE(0.0, 2.0);
  Fixture Test({ZoneId(0), ZoneId(0)});
  Test.addColdTarget(TargetId(2), Rate);
  Test.report(0, 0, 100, milliseconds(4'000));
  Test.report(1, 0, 100, milliseconds(4'000));
  Test.report(2, 0, 200, milliseconds(4'000));
  const bool IsTried = Test.choose(milliseconds(4'010)) == TargetId(2);
  CHECK(IsTried == (Rate > 0));
  Test.Table_.recordSent(TargetId(2), at(milliseconds(4'010)));
  CHECK(Test.choose(milliseconds(4'020)) != TargetId(2));
}

TEST_CASE("a fast target of another zone is preferred to a slow one",
          "[routing]") {
  Fixture Test;
  Test.report(0, 0, 700, milliseconds(200));
  Test.report(1, 0, 100, milliseconds(200));
  CHECK(Test.choose(milliseconds(210)) == TargetId(1));
}

TEST_CASE("an idle target of another zone is preferred to a full one",
          "[routing]") {
  Fixture Test;
  Test.report(0, 3, 100, milliseconds(200));
  Test.report(1, 0, 100, milliseconds(200));
  CHECK(Test.choose(milliseconds(210)) == TargetId(1));
}

TEST_CASE("an old report has little weight", "[routing]") {
  Fixture Test;
  Test.report(0, 0, 300, milliseconds(200));
  Test.report(1, 0, 300, milliseconds(200));
  Test.report(1, 0, 100, milliseconds(210));
  CHECK(Test.choose(milliseconds(220)) == TargetId(1));
  CHECK(Test.choose(seconds(4)) == TargetId(0));
}

TEST_CASE("a delayed report does not replace a newer one", "[routing]") {
  Fixture Test;
  Test.report(1, 0, 100, milliseconds(200));
  Test.report(0, 0, 100, milliseconds(300));
  Test.report(0, 0, 700, milliseconds(250));
  CHECK(Test.choose(milliseconds(310)) == TargetId(0));
}

TEST_CASE("attempts sent since a report count as load", "[routing]") {
  Fixture Test;
  Test.report(0, 0, 100, milliseconds(200));
  Test.report(1, 0, 100, milliseconds(200));
  for (int Sent = 0; Sent < 3; ++Sent)
    Test.Table_.recordSent(TargetId(0), at(milliseconds(205)));
  CHECK(Test.choose(milliseconds(210)) == TargetId(1));
}
