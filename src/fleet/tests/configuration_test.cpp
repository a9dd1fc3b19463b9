#include "fleet/tests/simulatedfleet.h"
#include "fleet/tests/testdocument.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::fleet;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t FleetSize = 15;

/// The time within which an accepted change must be applied by all instances.
constexpr framework::Duration ApplyTimeLimit = 7s;

/// The time after which a zone that was taken out must receive no new requests.
constexpr framework::Duration ZoneOutTimeLimit = 3s;

void publishDocument(SimulatedFleet &Fleet, std::uint64_t Revision,
                     bool IsLekkiIn) {
  Fleet.platform().publishDocument(framework::Revision(Revision),
                                   makeDocument(IsLekkiIn));
}

void startAndConverge(SimulatedFleet &Fleet) {
  publishDocument(Fleet, 10, true);
  Fleet.setTargets(makeTargets(6));
  Fleet.startAll();
  Fleet.advance(10s);
}

std::size_t countWithRevision(SimulatedFleet &Fleet, std::uint64_t Revision) {
  std::size_t Count = 0;
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index) {
    if (Fleet.fleet(Index).documentRevision() == framework::Revision(Revision))
      ++Count;
  }
  return Count;
}

std::size_t countFresh(SimulatedFleet &Fleet) {
  std::size_t Count = 0;
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    Count += Fleet.isFresh(Index) ? 1 : 0;
  return Count;
}

/// Returns true when the instance would now send new requests to zone `lekki`.
bool wouldSendToLekki(SimulatedFleet &Fleet, std::size_t Index) {
  if (!Fleet.isFresh(Index))
    return false;
  const auto *Document = Fleet.fleet(Index).currentDocument();
  return Document &&
         Document->Zones_[1].State_ == document::ZoneState::InService;
}

} // namespace

TEST_CASE("a document change reaches all 15 instances within the time limit",
          "[fleet]") {
  SimulatedFleet Fleet(FleetSize, 1);
  Fleet.faults().LossRate_ = 0.1;
  startAndConverge(Fleet);
  REQUIRE(countWithRevision(Fleet, 10) == FleetSize);
  REQUIRE(countFresh(Fleet) == FleetSize);
  publishDocument(Fleet, 11, false);
  Fleet.advance(ApplyTimeLimit);
  CHECK(countWithRevision(Fleet, 11) == FleetSize);
}

TEST_CASE(
    "one instance that can reach the platform keeps the whole fleet up to date",
    "[fleet]") {
  for (std::size_t Reader = 0; Reader < FleetSize; ++Reader) {
    SimulatedFleet Fleet(FleetSize, 2);
    startAndConverge(Fleet);
    for (std::size_t Index = 0; Index < FleetSize; ++Index)
      Fleet.instance(Index).CanReachPlatform_ = Index == Reader;
    Fleet.advance(30s);
    publishDocument(Fleet, 11, false);
    Fleet.advance(ApplyTimeLimit);
    CHECK(countWithRevision(Fleet, 11) == FleetSize);
  }
}

TEST_CASE("a lower revision is never applied", "[fleet]") {
  SimulatedFleet Fleet(FleetSize, 3);
  startAndConverge(Fleet);
  publishDocument(Fleet, 9, false);
  Fleet.advance(20s);
  CHECK(countWithRevision(Fleet, 10) == FleetSize);
  for (std::size_t Index = 1; Index < FleetSize; ++Index)
    Fleet.kill(Index);
  Fleet.advance(1s);
  for (std::size_t Index = 1; Index < FleetSize; ++Index)
    Fleet.start(Index);
  Fleet.advance(5s);
  CHECK(countWithRevision(Fleet, 10) == FleetSize);
  CHECK(countFresh(Fleet) == FleetSize);
  for (std::size_t Index = 0; Index < FleetSize; ++Index)
    CHECK_FALSE(Fleet.instance(Index).HasRevisionRegressed_);
}

TEST_CASE("an invalid document is not applied", "[fleet]") {
  SimulatedFleet Fleet(5, 4);
  startAndConverge(Fleet);
  Fleet.platform().publishDocument(framework::Revision(11), "{}");
  Fleet.advance(20s);
  CHECK(countWithRevision(Fleet, 10) == 5);
  CHECK(countFresh(Fleet) == 5);
  Fleet.kill(2);
  Fleet.start(2);
  Fleet.advance(5s);
  CHECK(countWithRevision(Fleet, 10) == 5);
}

TEST_CASE("the fleet keeps working while the platform is down", "[fleet]") {
  SimulatedFleet Fleet(FleetSize, 5);
  startAndConverge(Fleet);
  Fleet.platform().setDown(true);
  std::size_t StaleCount = 0;
  for (int Second = 0; Second < 600; ++Second) {
    Fleet.advance(100ms);
    StaleCount += FleetSize - countFresh(Fleet);
  }
  CHECK(StaleCount == 0);
  Fleet.advance(4min);
  CHECK(countFresh(Fleet) == FleetSize);
  const std::uint64_t CallsBefore = Fleet.platform().calls();
  Fleet.advance(60s);
  CHECK(Fleet.platform().calls() - CallsBefore < 60 * 2'000);
}

TEST_CASE("an older revision after an hour of platform outage is ignored",
          "[fleet]") {
  SimulatedFleet Fleet(3, 12);
  startAndConverge(Fleet);
  Fleet.platform().setDown(true);
  Fleet.advance(1h);
  CHECK(countFresh(Fleet) == 3);
  publishDocument(Fleet, 8, false);
  Fleet.platform().setDown(false);
  Fleet.kill(0);
  Fleet.kill(1);
  Fleet.start(0);
  Fleet.start(1);
  Fleet.advance(10s);
  CHECK(countWithRevision(Fleet, 10) == 3);
}

TEST_CASE("an isolated instance stops sending within the time limit",
          "[fleet]") {
  SimulatedFleet Fleet(FleetSize, 6);
  startAndConverge(Fleet);
  Fleet.instance(3).CanReachPlatform_ = false;
  Fleet.instance(3).Partition_ = 1;
  publishDocument(Fleet, 11, false);
  Fleet.advance(ZoneOutTimeLimit);
  CHECK_FALSE(Fleet.isFresh(3));
  Fleet.advance(5min);
  CHECK_FALSE(Fleet.isFresh(3));
  CHECK(countFresh(Fleet) == FleetSize - 1);
  Fleet.instance(3).Partition_ = 0;
  Fleet.advance(5s);
  CHECK(Fleet.isFresh(3));
  CHECK(countWithRevision(Fleet, 11) == FleetSize);
}

TEST_CASE(
    "a zone taken out of service gets no new requests after three seconds",
    "[fleet]") {
  SimulatedFleet Fleet(FleetSize, 7);
  Fleet.faults().LossRate_ = 0.1;
  startAndConverge(Fleet);
  Fleet.pause(4);
  Fleet.advance(500ms);
  publishDocument(Fleet, 11, false);
  Fleet.kill(5);
  Fleet.start(5);
  Fleet.advance(ZoneOutTimeLimit);
  for (int Step = 0; Step < 1'000; ++Step) {
    if (Step == 500)
      Fleet.resume(4);
    for (std::size_t Index = 0; Index < FleetSize; ++Index)
      REQUIRE_FALSE(wouldSendToLekki(Fleet, Index));
    Fleet.advance(20ms);
  }
  CHECK(countFresh(Fleet) == FleetSize);
}

TEST_CASE("platform calls stay below the rate limit", "[fleet]") {
  SimulatedFleet Fleet(FleetSize, 8);
  startAndConverge(Fleet);
  const std::uint64_t CallsBefore = Fleet.platform().calls();
  Fleet.advance(60s);
  const double PerSecond =
      static_cast<double>(Fleet.platform().calls() - CallsBefore) / 60.0;
  INFO("calls per second: " << PerSecond);
  CHECK(PerSecond < 2'000.0 / 10);
}

TEST_CASE("a newer incarnation of an instance supersedes the older one",
          "[fleet]") {
  SimulatedFleet Fleet(5, 9);
  startAndConverge(Fleet);
  Heartbeat Newer;
  Newer.From_ = Fleet.instance(2).Name_;
  Newer.Incarnation_ = framework::Incarnation(~std::uint64_t{0});
  Newer.Address_ = Fleet.instance(2).Address_;
  Fleet.run(0,
            [&](class Fleet &Self, framework::Moment Now, OutputList &Output) {
              Self.handlePeerMessage(Newer, Transport::Datagram, Now, Output);
            });
  Fleet.advance(10s);
  CHECK_FALSE(Fleet.isFresh(2));
  CHECK(Fleet.isFresh(0));
}

TEST_CASE("a document from a timed-out read is applied but confirms nothing",
          "[fleet]") {
  SimulatedFleet Fleet(1, 13);
  startAndConverge(Fleet);
  const auto DeliverLate = [&](class Fleet &Self, framework::Moment Now,
                               OutputList &Output) {
    Self.handleReadFailure(SectionKind::Document, Now, Output);
    Now.Monotonic_ += 1h;
    Self.handleDocument(framework::Revision(11), makeDocument(false), Now,
                        Output);
    CHECK_FALSE(Self.isViewFresh(Now.Monotonic_));
  };
  Fleet.run(0, DeliverLate);
  CHECK(Fleet.fleet(0).documentRevision() == framework::Revision(11));
}

TEST_CASE("a resumed instance is fresh again within milliseconds", "[fleet]") {
  for (const std::size_t Count : {std::size_t{1}, FleetSize}) {
    SimulatedFleet Fleet(Count, 14);
    startAndConverge(Fleet);
    Fleet.pause(0);
    Fleet.advance(40s);
    REQUIRE_FALSE(Fleet.fleet(0).isViewFresh(Fleet.instantOf(0)));
    Fleet.resume(0);
    CHECK_FALSE(Fleet.isFresh(0));
    Fleet.advance(50ms);
    CHECK(Fleet.isFresh(0));
  }
}
