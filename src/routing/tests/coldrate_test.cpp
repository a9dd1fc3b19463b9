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

/// One target that tells how long it stays cold.
struct Fixture {
  TargetTable<RandomPolicy> Table_{ZoneId(0), RandomPolicy(), Random(7)};

  explicit Fixture(Duration WarmupLeft, double PerSecond = 4) {
    set(WarmupLeft, 1);
    TargetLimits Bounds;
    Bounds.MaxConnections_ = 50;
    Bounds.ColdRequestsPerSecond_ = PerSecond;
    Table_.setLimits(TargetId(0), Bounds);
  }

  void set(Duration WarmupLeft, std::uint64_t Start,
           Instant Now = at(Duration())) {
    TargetDescription Target;
    Target.Slots_ = 6;
    Target.Start_ = Incarnation(Start);
    Target.WarmupLeft_ = WarmupLeft;
    Table_.setTargets({Target}, Now);
  }

  bool send(Instant Now) {
    if (!Table_.choose({ServiceId(0)}, Now))
      return false;
    Table_.recordSent(TargetId(0), Now);
    Table_.recordEnded(TargetId(0), AttemptResult::Answered, milliseconds(1),
                       Now);
    return true;
  }

  int sendAll(Instant From, Duration Length) {
    int Sent = 0;
    for (Duration Step{}; Step < Length; Step += milliseconds(5))
      Sent += send(From + Step) ? 1 : 0;
    return Sent;
  }
};

} // namespace

TEST_CASE("a cold target gets no more requests a second than its share",
          "[routing]") {
  Fixture World(seconds(10));
  CHECK(World.sendAll(at({}), seconds(1)) <= 4 + 1);
  CHECK(World.sendAll(at(seconds(1)), seconds(1)) <= 4 + 1);
  CHECK(World.sendAll(at(seconds(2)), seconds(4)) >= 14);
}

TEST_CASE("a target that tells no cold start takes its slots at once",
          "[routing]") {
  Fixture World(Duration{});
  CHECK(World.sendAll(at({}), seconds(1)) == 200);
}

TEST_CASE("a cold target turns warm when its time is over", "[routing]") {
  Fixture World(seconds(2));
  World.sendAll(at({}), seconds(2));
  CHECK(World.sendAll(at(milliseconds(2010)), milliseconds(500)) == 100);
}

TEST_CASE("a health answer turns a target cold and warm again", "[routing]") {
  Fixture World(Duration{});
  LoadReport Report;
  Report.WarmupLeft_ = seconds(3);
  World.Table_.recordReport(TargetId(0), Report, at(milliseconds(10)));
  CHECK(World.sendAll(at(milliseconds(20)), seconds(1)) <= 5);
  Report.WarmupLeft_ = Duration{};
  World.Table_.recordReport(TargetId(0), Report, at(milliseconds(1100)));
  CHECK(World.sendAll(at(milliseconds(1110)), milliseconds(500)) == 100);
}

TEST_CASE("a share of zero sends nothing to a cold target", "[routing]") {
  Fixture World(seconds(10), 0);
  CHECK(World.sendAll(at({}), seconds(3)) == 0);
}

TEST_CASE("a new life under an old name starts cold", "[routing]") {
  Fixture World(Duration{});
  World.sendAll(at({}), milliseconds(100));
  World.set(seconds(3), 2, at(milliseconds(200)));
  CHECK(World.sendAll(at(milliseconds(210)), seconds(1)) <= 5);
}
