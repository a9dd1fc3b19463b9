#include "fleet/tests/seededsimulation.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::fleet;

namespace {

std::set<std::size_t> everyThird(std::size_t Count) {
  std::set<std::size_t> Chosen;
  for (std::size_t Index = 0; Index < Count; Index += 3)
    Chosen.insert(Index);
  return Chosen;
}

} // namespace

TEST_CASE("an instance that the store turns away and that no datagrams reach "
          "does not keep an old configuration or a target that leaves",
          "[lostdatagrams]") {
  const int Count = GENERATE(17, 48, 129);
  // Later they take all others for lost.
  const auto Shift =
      milliseconds(GENERATE(range(0, 2000, 190), values({9'000, 30'000})));
  SeededSimulation Fleet(Count, {"a", "b", "c"}, 9);
  Fleet.pass(seconds(4));
  const std::set<std::size_t> Away = everyThird(Fleet.Instances_.size());
  Fleet.turnAway(Away);
  Fleet.DatagramsLost_ = Away;
  Fleet.pass(Shift);
  Fleet.changeConfiguration("small");
  Fleet.change("t0", "target a draining");
  Fleet.remove("t1");
  Fleet.pass(MaxChangeDelay);
  CAPTURE(Count, Shift.count());
  CHECK(Fleet.staleCount() == 0);
}

TEST_CASE(
    "an instance that starts while no datagrams reach it finds others that "
    "give it changes",
    "[lostdatagrams]") {
  SeededSimulation Fleet(17, {"a", "b", "c"}, 9);
  Fleet.pass(seconds(4));
  Fleet.DatagramsLost_ = {2};
  Fleet.restart(2);
  Fleet.pass(seconds(3));
  Fleet.turnAway({2});
  for (int Change = 0; Change < 10; ++Change) {
    Fleet.changeConfiguration("small");
    Fleet.pass(MaxChangeDelay);
    CHECK(Fleet.staleCount() == 0);
  }
}

TEST_CASE("instances that hear each other send no messages over connections "
          "while the store turns some away",
          "[lostdatagrams]") {
  SeededSimulation Fleet(17, {"a", "b", "c"}, 9);
  Fleet.pass(seconds(4));
  Fleet.ConnectionMessageCount_ = 0;
  Fleet.changeConfiguration("small");
  Fleet.pass(seconds(10));
  Fleet.turnAway(everyThird(17));
  Fleet.changeConfiguration("other");
  Fleet.pass(seconds(10));
  CHECK(Fleet.ConnectionMessageCount_ == 0);
}

TEST_CASE(
    "while the store is down for all, instances ask each other seldom and "
    "over no connections",
    "[lostdatagrams]") {
  SeededSimulation Fleet(17, {"a", "b", "c"}, 9);
  Fleet.pass(seconds(4));
  Fleet.IsStoreDown_ = true;
  Fleet.pass(seconds(4));
  std::size_t RequestCount = 0;
  Fleet.ConnectionMessageCount_ = 0;
  Fleet.IsLost_ = [&RequestCount](std::size_t, const PeerMessage &Message) {
    RequestCount += std::get_if<RecordRequest>(&Message) ? 1U : 0U;
    return false;
  };
  Fleet.pass(seconds(12));
  CHECK(Fleet.ConnectionMessageCount_ == 0);
  // One each 0.6 s.
  CHECK(RequestCount <= 17 * 12 / 0.6);
}
