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

/// One target that reports how long it stays cold.
struct Fixture {
  TargetTable<RandomPolicy> Table_{ZoneId(0), RandomPolicy(), Random(7)};

  explicit Fixture(Duration WarmupLeft, double PerSecond = 4) {
    setTarget(WarmupLeft, 1);
    TargetLimits Limits;
    Limits.MaxConnections_ = 50;
    Limits.ColdRequestsPerSecond_ = PerSecond;
    Table_.setLimits(TargetId(0), Limits);
  }

  void setTarget(Duration WarmupLeft, std::uint64_t Start,
                 Instant Now = at(Duration())) {
    TargetDescription Target;
    Target.Slots_ = 6;
    Target.Start_ = Incarnation(Start);
    Target.WarmupLeft_ = WarmupLeft;
    Table_.setTargets({Target}, Now);
  }

  bool trySend(Instant Now) {
    if (!Table_.choose({ServiceId(0)}, Now))
      return false;
    Table_.recordSent(TargetId(0), Now);
    Table_.recordEnded(TargetId(0), AttemptResult::Answered, milliseconds(1),
                       Now);
    return true;
  }

  int sendRepeatedly(Instant From, Duration Length) {
    int Sent = 0;
    for (Duration Step{}; Step < Length; Step += milliseconds(5))
      Sent += trySend(From + Step) ? 1 : 0;
    return Sent;
  }
};

} // namespace

TEST_CASE("a cold target gets no more requests per second than its limit",
          "[routing]") {
  Fixture Test(seconds(10));
  CHECK(Test.sendRepeatedly(at({}), seconds(1)) <= 4 + 1);
  CHECK(Test.sendRepeatedly(at(seconds(1)), seconds(1)) <= 4 + 1);
  CHECK(Test.sendRepeatedly(at(seconds(2)), seconds(4)) >= 14);
}

TEST_CASE("a target that reports no cold start is not rate-limited",
          "[routing]") {
  Fixture Test(Duration{});
  CHECK(Test.sendRepeatedly(at({}), seconds(1)) == 200);
}

TEST_CASE("a cold target turns warm when its warm-up time has passed",
          "[routing]") {
  Fixture Test(seconds(2));
  Test.sendRepeatedly(at({}), seconds(2));
  CHECK(Test.sendRepeatedly(at(milliseconds(2010)), milliseconds(500)) == 100);
}

TEST_CASE("a load report turns a target cold and warm again", "[routing]") {
  Fixture Test(Duration{});
  LoadReport Report;
  Report.WarmupLeft_ = seconds(3);
  Test.Table_.recordReport(TargetId(0), Report, at(milliseconds(10)));
  CHECK(Test.sendRepeatedly(at(milliseconds(20)), seconds(1)) <= 5);
  Report.WarmupLeft_ = Duration{};
  Test.Table_.recordReport(TargetId(0), Report, at(milliseconds(1100)));
  CHECK(Test.sendRepeatedly(at(milliseconds(1110)), milliseconds(500)) == 100);
}

TEST_CASE("a rate limit of zero sends nothing to a cold target", "[routing]") {
  Fixture Test(seconds(10), 0);
  CHECK(Test.sendRepeatedly(at({}), seconds(3)) == 0);
}

TEST_CASE("a restarted target with the same name starts cold", "[routing]") {
  Fixture Test(Duration{});
  Test.sendRepeatedly(at({}), milliseconds(100));
  Test.setTarget(seconds(3), 2, at(milliseconds(200)));
  CHECK(Test.sendRepeatedly(at(milliseconds(210)), seconds(1)) <= 5);
}
