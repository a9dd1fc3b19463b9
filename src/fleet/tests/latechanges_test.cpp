#include "fleet/tests/seededsimulation.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::fleet;
using framework::Duration;
using framework::Instant;

namespace {

constexpr int Instances = 13;
constexpr int Targets = 40;
constexpr Duration LeaveInterval = milliseconds(370);
constexpr Duration CheckInterval = milliseconds(10);
constexpr Duration RecoveryGrace = FleetBounds{}.RecoveryGrace_;
constexpr Duration RemovalInterval = milliseconds(200);

/// Makes answers to reads of changes late, and all answers slow besides in two
/// of each four seconds.
void slowDown(SeededSimulation &Fleet, framework::Random &Rng) {
  const auto SlowTime = [&Fleet, &Rng] {
    const auto Phase = Fleet.Now_.Monotonic_.time_since_epoch() % seconds(4);
    return Phase < seconds(2) ? Duration(milliseconds(400 + Rng.index(400)))
                              : Duration(milliseconds(4));
  };
  Fleet.FullReadDelay_ = SlowTime;
  Fleet.ChangesDelay_ = [&Rng, SlowTime] {
    return SlowTime() + milliseconds(500 + Rng.index(1'000));
  };
}

/// Returns the number of views that list a target.
std::size_t countUsers(const SeededSimulation &Fleet,
                       const std::string &Target) {
  std::size_t Count = 0;
  for (const SeededFleet &Each : Fleet.Instances_)
    for (const PublishedTarget &Listed : Each.view().targets())
      Count += Listed.Name_.value() == Target ? 1U : 0U;
  return Count;
}

/// Returns the longest time for which an instance uses a target after the store
/// has acknowledged that it leaves or is gone.
Duration longestUse(SeededSimulation &Fleet, Duration Length) {
  std::map<std::string, Instant> LeftAt;
  Duration Longest{};
  const Instant End = Fleet.Now_.Monotonic_ + Length;
  Instant NextLeave = Fleet.Now_.Monotonic_;
  while (Fleet.Now_.Monotonic_ < End) {
    const Instant Now = Fleet.Now_.Monotonic_;
    if (Now >= NextLeave && LeftAt.size() < Targets) {
      const std::string Target = "t" + std::to_string(LeftAt.size());
      if (LeftAt.size() % 2 == 0)
        Fleet.change(Target, "target a draining");
      else
        Fleet.remove(Target);
      LeftAt[Target] = Now;
      NextLeave = Now + LeaveInterval;
    }
    Fleet.pass(CheckInterval);
    for (const SeededFleet &Each : Fleet.Instances_)
      for (const PublishedTarget &Target : Each.view().targets()) {
        const auto Left = LeftAt.find(Target.Name_.value());
        if (Left != LeftAt.end() && !Target.IsDraining_)
          Longest = std::max(Longest, Fleet.Now_.Monotonic_ - Left->second);
      }
  }
  return Longest;
}

} // namespace

TEST_CASE(
    "a target that leaves is not used on while the store answers reads of "
    "changes late",
    "[latechanges]") {
  SeededSimulation Fleet(Instances, {"a", "b", "c"}, Targets);
  Fleet.pass(seconds(4));
  Fleet.delayChanges();
  CHECK(longestUse(Fleet, seconds(12)) < MaxChangeDelay);
}

TEST_CASE(
    "an instance that hears no other does not use a target on that leaves "
    "while answers to reads of changes come late by varying times",
    "[latechanges]") {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    CAPTURE(Seed);
    framework::Random Rng(Seed);
    SeededSimulation Fleet(3, {"a", "b", "c"}, Targets);
    Fleet.pass(seconds(4));
    for (std::size_t Each = 0; Each < Fleet.Instances_.size(); ++Each)
      Fleet.Isolated_.insert(Each);
    Fleet.ChangesDelay_ = [&Rng] {
      return milliseconds(500 + Rng.index(1'000));
    };
    CHECK(longestUse(Fleet, seconds(15)) < MaxChangeDelay);
  }
}

TEST_CASE(
    "an instance that hears no other does not use a target on that leaves "
    "while the store answers reads of changes late",
    "[latechanges]") {
  SeededSimulation Fleet(Instances, {"a", "b", "c"}, Targets);
  Fleet.pass(seconds(4));
  for (std::size_t Each = 0; Each < Instances; ++Each)
    Fleet.Isolated_.insert(Each);
  Fleet.delayChanges();
  CHECK(longestUse(Fleet, seconds(12)) < MaxChangeDelay);
}

TEST_CASE("a target that is gone is not used on while the store answers slowly "
          "and reads of changes late",
          "[latechanges]") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    CAPTURE(Seed);
    framework::Random Rng(Seed);
    SeededSimulation Fleet(Instances, {"a", "b", "c"}, Targets);
    Fleet.pass(seconds(4));
    slowDown(Fleet, Rng);
    std::map<std::string, Instant> RemovedAt;
    Duration Longest{};
    for (int Number = 0; Number < Targets; ++Number) {
      const std::string Target = "t" + std::to_string(Number);
      Fleet.remove(Target);
      RemovedAt[Target] = Fleet.Now_.Monotonic_;
      const Instant Next = Fleet.Now_.Monotonic_ + RemovalInterval;
      while (Fleet.Now_.Monotonic_ < Next) {
        Fleet.pass(CheckInterval);
        for (const auto &[Gone, At] : RemovedAt)
          if (countUsers(Fleet, Gone) > 0)
            Longest = std::max(Longest, Fleet.Now_.Monotonic_ - At);
      }
    }
    CHECK(Longest < MaxChangeDelay);
  }
}

TEST_CASE(
    "targets whose records lapsed in an outage are kept until two seconds "
    "after it, and those that are gone while the store is slow are not",
    "[latechanges]") {
  framework::Random Rng(1);
  SeededSimulation Fleet(Instances, {"a", "b", "c"}, Targets);
  Fleet.pass(seconds(4));
  Fleet.IsStoreDown_ = true;
  Fleet.pass(seconds(5));
  slowDown(Fleet, Rng);
  for (int Number = 0; Number < 6; ++Number)
    Fleet.remove("t" + std::to_string(Number));
  Fleet.IsStoreDown_ = false;
  Fleet.pass(milliseconds(1'900));
  for (int Number = 0; Number < 6; ++Number)
    CHECK(countUsers(Fleet, "t" + std::to_string(Number)) == Instances);
  // Half of them reach the store again.
  for (int Number = 0; Number < 3; ++Number)
    Fleet.change("t" + std::to_string(Number), "target a");
  Fleet.pass(RecoveryGrace + MaxChangeDelay);
  for (int Number = 0; Number < 6; ++Number)
    CHECK(countUsers(Fleet, "t" + std::to_string(Number)) ==
          (Number < 3 ? Instances : 0));
  for (int Number = 10; Number < 20; ++Number) {
    Fleet.remove("t" + std::to_string(Number));
    Fleet.pass(MaxChangeDelay);
    CHECK(countUsers(Fleet, "t" + std::to_string(Number)) == 0);
  }
}

TEST_CASE(
    "targets whose records lapsed in an outage are kept by instances that "
    "hear of the end of the outage from others",
    "[latechanges]") {
  SeededSimulation Fleet(Instances, {"a", "b", "c"}, Targets);
  Fleet.pass(seconds(4));
  Fleet.IsStoreDown_ = true;
  Fleet.pass(seconds(5));
  for (int Number = 0; Number < 6; ++Number)
    Fleet.remove("t" + std::to_string(Number));
  // The store answers one instance of each zone first.
  std::set<std::size_t> Others;
  for (std::size_t Each = 3; Each < Instances; ++Each)
    Others.insert(Each);
  Fleet.turnAway(Others);
  Fleet.IsStoreDown_ = false;
  for (int Check = 0; Check < 19; ++Check) {
    Fleet.pass(milliseconds(100));
    for (int Number = 0; Number < 6; ++Number)
      CHECK(countUsers(Fleet, "t" + std::to_string(Number)) == Instances);
  }
  Fleet.pass(RecoveryGrace + MaxChangeDelay);
  for (int Number = 0; Number < 6; ++Number)
    CHECK(countUsers(Fleet, "t" + std::to_string(Number)) == 0);
}

TEST_CASE(
    "answers that take longer than a time limit are no outage of the store",
    "[latechanges]") {
  SeededSimulation Fleet(GENERATE(1, 13), {"a", "b", "c"}, Targets);
  Fleet.pass(seconds(4));
  Fleet.delayChanges();
  Fleet.FullReadDelay_ = [] { return Duration(milliseconds(1'250)); };
  Fleet.pass(seconds(20));
  for (const SeededFleet &Each : Fleet.Instances_)
    CHECK(Each.view().outages().lastOutage() == Duration{});
}

TEST_CASE(
    "an instance that was cut off does not use a target on that others know "
    "to be gone",
    "[latechanges]") {
  const Duration Cut = milliseconds(GENERATE(2'000, 3'000, 5'000));
  for (std::size_t Index = 0; Index < Instances; ++Index) {
    CAPTURE(Index, Cut.count());
    SeededSimulation Fleet(Instances, {"a", "b", "c"}, Targets);
    Fleet.pass(seconds(4));
    Fleet.turnAway({Index});
    Fleet.Isolated_ = {Index};
    Fleet.remove("t0");
    Fleet.pass(Cut);
    Fleet.turnAway({});
    Fleet.Isolated_.clear();
    Fleet.pass(seconds(1));
    CHECK(countUsers(Fleet, "t0") == 0);
  }
}

TEST_CASE("an instance loads from a store that takes two seconds for an answer",
          "[latechanges]") {
  SeededSimulation Fleet(3, {"a"}, 3);
  Fleet.FullReadDelay_ = [] { return Duration(milliseconds(2'000)); };
  Fleet.ChangesDelay_ = Fleet.FullReadDelay_;
  for (std::size_t Index = 0; Index < 3; ++Index)
    Fleet.restart(Index);
  Fleet.pass(seconds(8));
  CHECK(Fleet.staleCount() == 0);
}
