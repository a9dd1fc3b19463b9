#include "fleet/tests/testdocument.h"
#include "fleet/tests/virtualfleet.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::fleet;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t FleetSize = 15;

/// The time in which an accepted change must be in force everywhere.
constexpr framework::Duration ForceBound = 7s;

/// The time after which a zone taken out must get no new work.
constexpr framework::Duration ZoneOutBound = 3s;

void publish(VirtualFleet &Fleet, std::uint64_t Revision, bool IsLekkiIn) {
  Fleet.platform().publishDocument(framework::Revision(Revision),
                                   makeDocument(IsLekkiIn));
}

void startCalm(VirtualFleet &Fleet) {
  publish(Fleet, 10, true);
  Fleet.setTargets(makeTargets(6));
  Fleet.startAll();
  Fleet.advance(10s);
}

std::size_t countAt(VirtualFleet &Fleet, std::uint64_t Revision) {
  std::size_t Count = 0;
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index) {
    if (Fleet.fleet(Index).documentRevision() == framework::Revision(Revision))
      ++Count;
  }
  return Count;
}

std::size_t countFresh(VirtualFleet &Fleet) {
  std::size_t Count = 0;
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    Count += Fleet.isFresh(Index) ? 1 : 0;
  return Count;
}

/// True when the instance would send new work to the zone `lekki` now.
bool wouldSendToLekki(VirtualFleet &Fleet, std::size_t Index) {
  if (!Fleet.isFresh(Index))
    return false;
  const auto *Document = Fleet.fleet(Index).currentDocument();
  return Document &&
         Document->Zones_[1].State_ == document::ZoneState::InService;
}

} // namespace

TEST_CASE("a change is in force on 15 instances in time", "[fleet]") {
  VirtualFleet Fleet(FleetSize, 1);
  Fleet.faults().Loss_ = 0.1;
  startCalm(Fleet);
  REQUIRE(countAt(Fleet, 10) == FleetSize);
  REQUIRE(countFresh(Fleet) == FleetSize);
  publish(Fleet, 11, false);
  Fleet.advance(ForceBound);
  CHECK(countAt(Fleet, 11) == FleetSize);
}

TEST_CASE("one instance with access to the service is enough", "[fleet]") {
  for (std::size_t Reader = 0; Reader < FleetSize; ++Reader) {
    VirtualFleet Fleet(FleetSize, 2);
    startCalm(Fleet);
    for (std::size_t Index = 0; Index < FleetSize; ++Index)
      Fleet.instance(Index).CanReachPlatform_ = Index == Reader;
    Fleet.advance(30s);
    publish(Fleet, 11, false);
    Fleet.advance(ForceBound);
    CHECK(countAt(Fleet, 11) == FleetSize);
  }
}

TEST_CASE("a lower revision is never applied", "[fleet]") {
  VirtualFleet Fleet(FleetSize, 3);
  startCalm(Fleet);
  publish(Fleet, 9, false);
  Fleet.advance(20s);
  CHECK(countAt(Fleet, 10) == FleetSize);
  for (std::size_t Index = 1; Index < FleetSize; ++Index)
    Fleet.kill(Index);
  Fleet.advance(1s);
  for (std::size_t Index = 1; Index < FleetSize; ++Index)
    Fleet.start(Index);
  Fleet.advance(5s);
  CHECK(countAt(Fleet, 10) == FleetSize);
  CHECK(countFresh(Fleet) == FleetSize);
  for (std::size_t Index = 0; Index < FleetSize; ++Index)
    CHECK_FALSE(Fleet.instance(Index).HasGoneBack_);
}

TEST_CASE("a document that is not valid changes nothing", "[fleet]") {
  VirtualFleet Fleet(5, 4);
  startCalm(Fleet);
  Fleet.platform().publishDocument(framework::Revision(11), "{}");
  Fleet.advance(20s);
  CHECK(countAt(Fleet, 10) == 5);
  CHECK(countFresh(Fleet) == 5);
  Fleet.kill(2);
  Fleet.start(2);
  Fleet.advance(5s);
  CHECK(countAt(Fleet, 10) == 5);
}

TEST_CASE("the fleet goes on while the service is down", "[fleet]") {
  VirtualFleet Fleet(FleetSize, 5);
  startCalm(Fleet);
  Fleet.platform().setDown(true);
  std::size_t Stale = 0;
  for (int Second = 0; Second < 600; ++Second) {
    Fleet.advance(100ms);
    Stale += FleetSize - countFresh(Fleet);
  }
  CHECK(Stale == 0);
  Fleet.advance(4min);
  CHECK(countFresh(Fleet) == FleetSize);
  const std::uint64_t Before = Fleet.platform().calls();
  Fleet.advance(60s);
  CHECK(Fleet.platform().calls() - Before < 60 * 2'000);
}

TEST_CASE("an hour without the service, then it goes back", "[fleet]") {
  VirtualFleet Fleet(3, 12);
  startCalm(Fleet);
  Fleet.platform().setDown(true);
  Fleet.advance(1h);
  CHECK(countFresh(Fleet) == 3);
  publish(Fleet, 8, false);
  Fleet.platform().setDown(false);
  Fleet.kill(0);
  Fleet.kill(1);
  Fleet.start(0);
  Fleet.start(1);
  Fleet.advance(10s);
  CHECK(countAt(Fleet, 10) == 3);
}

TEST_CASE("an instance cut off from all stops in time", "[fleet]") {
  VirtualFleet Fleet(FleetSize, 6);
  startCalm(Fleet);
  Fleet.instance(3).CanReachPlatform_ = false;
  Fleet.instance(3).Part_ = 1;
  publish(Fleet, 11, false);
  Fleet.advance(ZoneOutBound);
  CHECK_FALSE(Fleet.isFresh(3));
  Fleet.advance(5min);
  CHECK_FALSE(Fleet.isFresh(3));
  CHECK(countFresh(Fleet) == FleetSize - 1);
  Fleet.instance(3).Part_ = 0;
  Fleet.advance(5s);
  CHECK(Fleet.isFresh(3));
  CHECK(countAt(Fleet, 11) == FleetSize);
}

TEST_CASE("a zone taken out gets no new work after three seconds", "[fleet]") {
  VirtualFleet Fleet(FleetSize, 7);
  Fleet.faults().Loss_ = 0.1;
  startCalm(Fleet);
  Fleet.pause(4);
  Fleet.advance(500ms);
  publish(Fleet, 11, false);
  Fleet.kill(5);
  Fleet.start(5);
  Fleet.advance(ZoneOutBound);
  for (int Step = 0; Step < 1'000; ++Step) {
    if (Step == 500)
      Fleet.wake(4);
    for (std::size_t Index = 0; Index < FleetSize; ++Index)
      REQUIRE_FALSE(wouldSendToLekki(Fleet, Index));
    Fleet.advance(20ms);
  }
  CHECK(countFresh(Fleet) == FleetSize);
}

TEST_CASE("platform calls stay under the limit", "[fleet]") {
  VirtualFleet Fleet(FleetSize, 8);
  startCalm(Fleet);
  const std::uint64_t Before = Fleet.platform().calls();
  Fleet.advance(60s);
  const double PerSecond =
      static_cast<double>(Fleet.platform().calls() - Before) / 60.0;
  INFO("calls a second: " << PerSecond);
  CHECK(PerSecond < 2'000.0 / 10);
}

TEST_CASE("a newer incarnation ends the older one", "[fleet]") {
  VirtualFleet Fleet(5, 9);
  startCalm(Fleet);
  Heartbeat Newer;
  Newer.From_ = Fleet.instance(2).Name_;
  Newer.Incarnation_ = framework::Incarnation(~std::uint64_t{0});
  Newer.Address_ = Fleet.instance(2).Address_;
  Fleet.run(0,
            [&](class Fleet &Self, framework::Moment Now, OutputList &Output) {
              Self.notePeerMessage(Newer, Now, Output);
            });
  Fleet.advance(10s);
  CHECK_FALSE(Fleet.isFresh(2));
  CHECK(Fleet.isFresh(0));
}

TEST_CASE("a newer document that comes too late counts, but confirms nothing",
          "[fleet]") {
  VirtualFleet Fleet(1, 13);
  startCalm(Fleet);
  const auto Offer = [&](class Fleet &Self, framework::Moment Now,
                         OutputList &Output) {
    Self.noteUnavailable(SectionKind::Document, Now, Output);
    Now.Monotonic_ += 1h;
    Self.noteDocument(framework::Revision(11), makeDocument(false), Now,
                      Output);
    CHECK_FALSE(Self.isViewFresh(Now.Monotonic_));
  };
  Fleet.run(0, Offer);
  CHECK(Fleet.fleet(0).documentRevision() == framework::Revision(11));
}

TEST_CASE("a woken instance is fresh again within milliseconds", "[fleet]") {
  for (const std::size_t Count : {std::size_t{1}, FleetSize}) {
    VirtualFleet Fleet(Count, 14);
    startCalm(Fleet);
    Fleet.pause(0);
    Fleet.advance(40s);
    REQUIRE_FALSE(Fleet.fleet(0).isViewFresh(Fleet.instantOf(0)));
    Fleet.wake(0);
    CHECK_FALSE(Fleet.isFresh(0));
    Fleet.advance(50ms);
    CHECK(Fleet.isFresh(0));
  }
}
