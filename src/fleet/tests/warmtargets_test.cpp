#include "fleet/internal/restartnotices.h"
#include "fleet/tests/simulatedfleet.h"
#include "fleet/tests/testdocument.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::fleet;
using namespace std::chrono_literals;

namespace {

const framework::TargetName FirstTarget("quickcheck-0");

void startWithTargets(SimulatedFleet &Fleet) {
  Fleet.platform().publishDocument(framework::Revision(1), makeDocument(true));
  Fleet.setTargets(makeTargets(2));
  Fleet.startAll();
  Fleet.advance(5s);
}

} // namespace

TEST_CASE("a new instance learns from its peers which targets are warm",
          "[fleet]") {
  SimulatedFleet Fleet(5, 21);
  startWithTargets(Fleet);
  for (std::size_t Index = 0; Index < 4; ++Index)
    Fleet.fleet(Index).setWarm(FirstTarget, true);
  Fleet.kill(4);
  Fleet.start(4);
  Fleet.fleet(4).setWarm(FirstTarget, false);
  Fleet.advance(2s);
  CHECK(Fleet.instance(4).ReportedWarm_.contains(FirstTarget));
  CHECK(Fleet.instance(4).ReportedWarm_.size() == 1);
}

TEST_CASE("a target restart reaches all instances and overrides older reports",
          "[fleet]") {
  SimulatedFleet Fleet(15, 22);
  Fleet.faults().LossRate_ = 0.1;
  startWithTargets(Fleet);
  for (std::size_t Index = 0; Index < 15; ++Index)
    Fleet.fleet(Index).setWarm(FirstTarget, true);
  Fleet.run(3,
            [](class Fleet &Self, framework::Moment Now, OutputList &Output) {
              Self.setWarm(FirstTarget, false);
              Self.handleTargetRestart(FirstTarget, framework::Incarnation(77),
                                       Now, Output);
            });
  Fleet.advance(2s);
  for (std::size_t Index = 0; Index < 15; ++Index) {
    const bool IsReported =
        Fleet.instance(Index).ReportedCold_.contains(FirstTarget);
    CHECK(IsReported == (Index != 3));
  }
  Fleet.advance(5s);
  CHECK(Fleet.instance(3).ReportedWarm_.empty());
}

TEST_CASE("a delayed notice of an earlier start is ignored", "[fleet]") {
  RestartNotices Notices;
  const framework::Instant Now{};
  const RestartNotice First{FirstTarget, framework::Incarnation(1)};
  const RestartNotice Second{FirstTarget, framework::Incarnation(2)};
  CHECK(Notices.add(First, Now));
  CHECK(Notices.add(Second, Now));
  CHECK_FALSE(Notices.add(First, Now));
  CHECK_FALSE(Notices.add(Second, Now));
  CHECK(Notices.recent(Now).size() == 2);
  CHECK(Notices.recent(Now + 6s).empty());
}
