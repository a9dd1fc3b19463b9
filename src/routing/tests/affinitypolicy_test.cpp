#include "routing/policies/affinitypolicy.h"
#include "routing/ringdistance.h"
#include "routing/targettable.h"

#include <catch2/catch.hpp>

#include <array>

using namespace cranberryspool;
using namespace cranberryspool::framework;
using namespace cranberryspool::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t Slots = 6;
constexpr std::uint32_t Targets = 6;
const ServiceId Service(0);

Instant at(Duration Time) { return Instant(seconds(100)) + Time; }

/// Six warm targets. Those with an even id are in the local zone; the first one
/// has the smallest ring distance.
struct Fixture {
  TargetTable<AffinityPolicy> Table_{ZoneId(0), AffinityPolicy(), Random(3)};

  Fixture() {
    std::vector<TargetDescription> Listed;
    for (std::uint32_t Index = 0; Index < Targets; ++Index)
      Listed.push_back(
          {TargetId(Index), Service, ZoneId(Index % 2), Slots, false});
    Table_.setTargets(Listed, at({}));
    for (std::uint32_t Index = 0; Index < Targets; ++Index) {
      Table_.setLimits(TargetId(Index), {0, 50, seconds(5), 0.08 * Index});
      Table_.recordReport(TargetId(Index), {}, at({}));
      answer(TargetId(Index), milliseconds(10), at({}));
    }
  }

  void answer(TargetId Target, Duration Elapsed, Instant Now) {
    Table_.recordSent(Target, Now - Elapsed);
    Table_.recordEnded(Target, AttemptResult::Answered, Elapsed, Now);
  }

  TargetId choose(Instant Now) { return Table_.choose({Service}, Now).value(); }
};

} // namespace

TEST_CASE("an idle instance selects the closest target of its zone",
          "[routing]") {
  Fixture Fixture;
  CHECK(Fixture.choose(at(seconds(1))) == TargetId(0));
}

TEST_CASE("distance and zone matter less as load rises", "[routing]") {
  Fixture Fixture;
  std::array<int, Targets> Sent{};
  for (std::uint32_t Index = 0; Index < Slots * Targets; ++Index) {
    const TargetId Target = Fixture.choose(at(seconds(1)));
    Fixture.Table_.recordSent(Target, at(seconds(1)));
    ++Sent[Target.value()];
    if (Index == 3)
      CHECK(Sent[0] + Sent[2] + Sent[4] == 4);
  }
  for (const int Count : Sent)
    CHECK(Count == Slots);
  CHECK_FALSE(Fixture.Table_.choose({Service}, at(seconds(1))));
}

TEST_CASE("a stalled target is avoided within tens of milliseconds",
          "[routing]") {
  Fixture Fixture;
  const Instant Start = at(seconds(1));
  const Instant Later = Start + milliseconds(40);
  const bool IsStalled = GENERATE(false, true);
  Fixture.Table_.recordSent(TargetId(0), IsStalled ? Start : Later);
  Fixture.Table_.recordSent(TargetId(2), Later);
  Fixture.Table_.recordSent(TargetId(4), Later);
  CHECK((Fixture.choose(Later) != TargetId(0)) == IsStalled);
}

TEST_CASE("a slow target is selected again soon after its last slow response",
          "[routing]") {
  Fixture Fixture;
  const Instant Slow = at(seconds(1));
  for (int Index = 0; Index < 5; ++Index)
    Fixture.answer(TargetId(0), milliseconds(40), Slow);
  CHECK(Fixture.choose(Slow) != TargetId(0));
  CHECK(Fixture.choose(Slow + milliseconds(500)) == TargetId(0));
}

TEST_CASE("each target is close to the same number of instances", "[routing]") {
  constexpr std::uint32_t Instances = 5;
  std::array<int, 5> CloseInstances{};
  for (std::uint32_t Instance = 0; Instance < Instances; ++Instance)
    for (std::uint32_t Target = 0; Target < 5; ++Target)
      CloseInstances[Target] +=
          ringDistance(Instance, Instances, Target, 5) < 0.1;
  for (const int Count : CloseInstances)
    CHECK(Count == 1);
  CHECK(ringDistance(0, 1, 4, 5) == 0);
  CHECK(ringDistance(0, 10, 9, 10) == Approx(0.1));
}
