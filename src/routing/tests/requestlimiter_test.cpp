#include "routing/internal/requestlimiter.h"
#include "routing/policies/randompolicy.h"
#include "routing/targettable.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <vector>

using namespace cranberryspool;
using namespace cranberryspool::framework;
using namespace cranberryspool::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration Window = seconds(4);

Instant at(Duration Time) { return Instant(seconds(100)) + Time; }

RequestRate perSecond(double Rate) {
  return {static_cast<std::uint32_t>(Rate * 1'000)};
}

/// Returns the limiters of a fleet at one target. `Misranked` further instances
/// wrongly take themselves for the first.
std::vector<RequestLimiter> makeFleet(std::uint32_t Instances, double Limit,
                                      std::uint32_t Misranked = 0) {
  std::vector<RequestLimiter> Fleet(Instances + Misranked);
  for (std::uint32_t Index = 0; Index < Fleet.size(); ++Index) {
    Fleet[Index].setRank(
        SenderRank{Index < Misranked ? 0 : Index - Misranked, Instances});
    Fleet[Index].setLimit(perSecond(Limit), at({}), at({}));
  }
  return Fleet;
}

/// Lets all instances send at the same moment after a pause, and then whenever
/// they may. Returns the requests in the window from that moment on.
std::size_t countWorstWindow(std::vector<RequestLimiter> &Fleet) {
  std::size_t Sent = 0;
  for (Duration Time = seconds(200); Time <= seconds(200) + Window;
       Time += milliseconds(20))
    for (RequestLimiter &Each : Fleet)
      while (Each.canSend(at(Time))) {
        Each.recordSent(at(Time));
        ++Sent;
      }
  return Sent;
}

} // namespace

TEST_CASE("the worst window of all instances is within the limit of a target",
          "[limit]") {
  const std::uint32_t Instances = GENERATE(1, 2, 13, 143, 600);
  const double Limit = GENERATE(0.02, 0.5, 2.2, 10.0, 100.0);
  const std::uint32_t Misranked = GENERATE(0, 1);
  auto Fleet = makeFleet(Instances, Limit, Misranked);
  INFO(Instances << " instances, limit " << Limit << ", misranked "
                 << Misranked);
  CHECK(static_cast<double>(countWorstWindow(Fleet)) <=
        1.5 * Limit * std::chrono::duration<double>(Window).count() + 5);
}

TEST_CASE("a limit of zero lets no request through", "[limit]") {
  auto Fleet = makeFleet(3, 0);
  CHECK(countWorstWindow(Fleet) == 0);
}

TEST_CASE("a target without a limit is not restricted", "[limit]") {
  RequestLimiter Limiter;
  CHECK(Limiter.canSend(at({})));
  CHECK_FALSE(Limiter.nextWakeUp(at({})));
}

TEST_CASE("an instance without a rank sends nothing to a limited target",
          "[limit]") {
  RequestLimiter Limiter;
  Limiter.setLimit(perSecond(50), at({}), at({}));
  CHECK_FALSE(Limiter.canSend(at(seconds(10))));
}

TEST_CASE("an older statement does not replace a newer limit", "[limit]") {
  RequestLimiter Limiter;
  CHECK(Limiter.setLimit(perSecond(2), at(seconds(2)), at(seconds(2))));
  CHECK_FALSE(Limiter.setLimit(RequestRate::unlimited(), at(seconds(1)),
                               at(seconds(2))));
  CHECK(Limiter.limit() == perSecond(2));
}

TEST_CASE("instances lift a limit that is not confirmed one after another",
          "[limit]") {
  auto Fleet = makeFleet(13, 2);
  std::vector<Instant> LiftedAt;
  for (Duration Time{}; Time < seconds(60); Time += milliseconds(100))
    for (RequestLimiter &Each : Fleet)
      if (Each.expire(at(Time)))
        LiftedAt.push_back(at(Time));
  REQUIRE(LiftedAt.size() == Fleet.size());
  CHECK(std::adjacent_find(LiftedAt.begin(), LiftedAt.end(),
                           [](Instant Left, Instant Right) {
                             return Right - Left < milliseconds(900);
                           }) == LiftedAt.end());
}

TEST_CASE("a target that has started again is not held to its earlier limit",
          "[limit]") {
  TargetTable<RandomPolicy> Table(ZoneId(0), RandomPolicy(), Random(7));
  TargetDescription Target;
  Target.Slots_ = 6;
  Target.Start_ = Incarnation(1);
  Target.WarmupLeft_ = Duration{};
  Table.setTargets({Target}, at({}));
  TargetLimits Limits;
  Limits.MaxConnections_ = 50;
  Table.setLimits(TargetId(0), Limits);
  REQUIRE(Table.choose({ServiceId(0)}, at(seconds(1))));
  Table.recordRequestLimit(TargetId(0), perSecond(0), at(seconds(1)));
  CHECK_FALSE(Table.choose({ServiceId(0)}, at(seconds(2))));
  Target.Start_ = Incarnation(2);
  Table.setTargets({Target}, at(seconds(3)));
  CHECK(Table.choose({ServiceId(0)}, at(seconds(3))));
}
