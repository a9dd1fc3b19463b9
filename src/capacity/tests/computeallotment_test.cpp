#include "capacity/computeallotment.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <utility>

using namespace cranberryspool::capacity;

namespace {

using Slots = std::vector<std::uint32_t>;

PeerGroupDemand makeGroup(std::vector<std::optional<std::uint32_t>> Calls,
                          std::uint32_t FleetSize = 0,
                          std::uint32_t FirstRank = 0) {
  PeerGroupDemand Group;
  Group.FleetSize_ =
      FleetSize > 0 ? FleetSize : static_cast<std::uint32_t>(Calls.size());
  Group.FirstRank_ = FirstRank;
  Group.Calls_ = std::move(Calls);
  return Group;
}

SlotAllotment allotmentOf(std::size_t Own, PeerGroupDemand Group,
                          const Slots &Targets) {
  Group.Own_ = Own;
  return computeAllotment(Targets, Group).value_or(SlotAllotment());
}

} // namespace

// Guards against limits that add up to more than the slots, and against two
// instances that consider the same slot theirs.
TEST_CASE("the allotments of all groups together are the slots of the service",
          "[capacity]") {
  std::minstd_rand Random(1);
  for (const std::uint32_t SlotsPerTarget : {2U, 3U, 6U})
    for (const std::uint32_t FleetSize : {13U, 48U, 129U, 584U}) {
      const Slots Targets(12, SlotsPerTarget);
      Slots Used(12, 0);
      for (std::uint32_t First = 0; First < FleetSize; First += 9) {
        std::vector<std::optional<std::uint32_t>> Calls;
        for (std::uint32_t Rank = First; Rank < std::min(First + 9, FleetSize);
             ++Rank)
          Calls.emplace_back(20 + Random() % 20);
        const PeerGroupDemand Group = makeGroup(Calls, FleetSize, First);
        for (std::size_t Own = 0; Own < Calls.size(); ++Own) {
          const auto Share = allotmentOf(Own, Group, Targets);
          for (std::size_t Target = 0; Target < Share.SlotsByTarget_.size();
               ++Target)
            Used[Target] += Share.SlotsByTarget_[Target];
        }
      }
      CAPTURE(SlotsPerTarget, FleetSize);
      CHECK(Used == Targets);
    }
}

// Guards against slots that stay idle at one instance while calls wait at
// another.
TEST_CASE("idle members lend their slots to those with calls", "[capacity]") {
  const auto Group = makeGroup({30, 0, 0, 0});
  CHECK(allotmentOf(0, Group, Slots(4, 2)).Total_ == 8);
  CHECK(allotmentOf(1, Group, Slots(4, 2)).Total_ == 0);
}

// Guards against a member that takes all slots by telling a huge demand.
TEST_CASE("a member keeps the even share that it needs", "[capacity]") {
  const auto Group = makeGroup({10'000, 2, 2, 2});
  CHECK(allotmentOf(1, Group, Slots(4, 2)).Total_ == 2);
}

// Guards against starvation where there are fewer slots than instances.
TEST_CASE("a member without own slots gets one when many calls wait",
          "[capacity]") {
  const auto Group = makeGroup({30, 2, 2, 2});
  CHECK(allotmentOf(0, Group, {2}).Total_ == 1);
}

// Guards against slots that change hands back and forth while queues vary.
TEST_CASE("small differences of demand move no slots", "[capacity]") {
  const Slots Targets(4, 2);
  const auto Even = makeGroup({6, 6, 6, 6});
  const auto Uneven = makeGroup({9, 5, 7, 4});
  for (std::size_t Own = 0; Own < 4; ++Own)
    CHECK(allotmentOf(Own, Even, Targets) == allotmentOf(Own, Uneven, Targets));
}

// Guards against overlapping use of the slots of an instance of an earlier
// build, which tells no demand.
TEST_CASE("a member of unknown demand keeps its own slots", "[capacity]") {
  const auto Group = makeGroup({30, 30, std::nullopt, 30});
  const auto Share = allotmentOf(0, Group, Slots(4, 2));
  CHECK(Share.Total_ == 2);
  CHECK(allotmentOf(2, Group, Slots(4, 2)).Total_ == 2);
}

// Guards against a limit that is derived from nothing but own figures.
TEST_CASE("there is no allotment without peers, figures or contention",
          "[capacity]") {
  const Slots Targets(4, 2);
  CHECK_FALSE(computeAllotment(Targets, makeGroup({30})));
  CHECK_FALSE(computeAllotment(
      Targets, makeGroup({30, std::nullopt, std::nullopt, std::nullopt})));
  CHECK_FALSE(computeAllotment(Targets, makeGroup({2, 1, 0, 0})));
  CHECK_FALSE(computeAllotment({}, makeGroup({30, 30})));
  CHECK_FALSE(computeAllotment(Targets, makeGroup({})));
  CHECK_FALSE(computeAllotment(Targets, makeGroup({30, 30}, 3, 2)));
}
