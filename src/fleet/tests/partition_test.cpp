#include "fleet/tests/simulatedfleet.h"
#include "fleet/tests/testdocument.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <vector>

using namespace cranberryspool;
using namespace cranberryspool::fleet;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t FleetSize = 5;

/// Long enough for every owner to have passed its takeover wait.
constexpr framework::Duration ConvergenceTime = 15s;

/// The time within which all instances must have a changed list.
constexpr framework::Duration ListChangeTimeLimit = 3s;

void startAndConverge(SimulatedFleet &Fleet) {
  Fleet.platform().publishDocument(framework::Revision(1), makeDocument(true));
  Fleet.setTargets(makeTargets(6));
  Fleet.startAll();
  Fleet.advance(ConvergenceTime);
}

/// Returns a key created now; `Number` makes it unique.
framework::IdempotencyKey makeKey(const SimulatedFleet &Fleet,
                                  unsigned Number) {
  const auto Milliseconds = static_cast<unsigned long long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Fleet.momentOf(0).Wall_.time_since_epoch())
          .count());
  char Text[64];
  std::snprintf(Text, sizeof(Text), "%08llx-%04llx-7000-8000-%012x",
                Milliseconds >> 16, Milliseconds & 0xffff, Number);
  return framework::IdempotencyKey(Text);
}

KeyDecision requestKey(SimulatedFleet &Fleet, std::size_t Index,
                       const framework::IdempotencyKey &Key,
                       std::uint64_t Call) {
  Fleet.run(Index,
            [&](class Fleet &Self, framework::Moment Now, OutputList &Output) {
              Self.requestKey(framework::CallId(Call), Key, Now, Output);
            });
  Fleet.advance(1s);
  return Fleet.instance(Index).Decisions_.at(framework::CallId(Call)).Decision_;
}

} // namespace

TEST_CASE("a minority partition runs no keys after its majority window expires",
          "[fleet]") {
  SimulatedFleet Fleet(FleetSize, 41);
  startAndConverge(Fleet);
  Fleet.instance(3).Partition_ = 1;
  Fleet.instance(4).Partition_ = 1;
  Fleet.advance(ConvergenceTime);
  std::uint64_t Call = 1;
  std::vector<framework::IdempotencyKey> Keys;
  for (unsigned Number = 0; Number < 20; ++Number) {
    Keys.push_back(makeKey(Fleet, Number));
    CHECK(requestKey(Fleet, 3, Keys.back(), Call++) ==
          KeyDecision::OwnerUnreachable);
  }
  std::size_t Runs = 0;
  for (const auto &Key : Keys)
    Runs += requestKey(Fleet, 0, Key, Call++) == KeyDecision::Run ? 1 : 0;
  CHECK(Runs > 0);
  CHECK(Runs < Keys.size());
}

TEST_CASE("a key runs at most once across network partitions", "[fleet]") {
  SimulatedFleet Fleet(FleetSize, 43);
  startAndConverge(Fleet);
  std::uint64_t Call = 1;
  for (unsigned Number = 0; Number < 20; ++Number) {
    const auto Key = makeKey(Fleet, Number);
    std::size_t Runs = 0;
    for (const int Partition : {1, 0, 1, 1, 0}) {
      Fleet.instance(3).Partition_ = Partition;
      Fleet.instance(4).Partition_ = Partition;
      for (const std::size_t Index : {3, 0})
        Runs +=
            requestKey(Fleet, Index, Key, Call++) == KeyDecision::Run ? 1 : 0;
    }
    INFO("key " << Number);
    CHECK(Runs <= 1);
  }
}

TEST_CASE("a list change reaches all instances through one that can read the "
          "platform",
          "[fleet]") {
  SimulatedFleet Fleet(FleetSize, 42);
  startAndConverge(Fleet);
  REQUIRE_FALSE(Fleet.fleet(0).publishedTargets().empty());
  for (std::size_t Index = 0; Index < FleetSize; ++Index)
    Fleet.instance(Index).CanReachPlatform_ = Index == 2;
  Fleet.advance(30s);
  auto Targets = Fleet.fleet(0).publishedTargets();
  Targets.front().IsLeaving_ = true;
  Fleet.setTargets(Targets);
  Fleet.publishList();
  Fleet.advance(ListChangeTimeLimit);
  for (std::size_t Index = 0; Index < FleetSize; ++Index) {
    INFO("instance " << Index);
    CHECK(Fleet.fleet(Index).publishedTargets().front().IsLeaving_);
  }
}
