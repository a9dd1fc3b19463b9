#include "fleet/tests/seededsimulation.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::fleet;

namespace {

const std::vector<std::string> Zones{"a", "b", "c"};
constexpr int Targets = 30;

/// Counts the instances that would send requests to a target.
std::size_t countUsers(const SeededSimulation &Fleet,
                       const std::string &Target) {
  return static_cast<std::size_t>(std::count_if(
      Fleet.Instances_.begin(), Fleet.Instances_.end(), [&](const auto &Each) {
        const auto Known = Each.view().targets();
        return std::any_of(Known.begin(), Known.end(), [&](const auto &One) {
          return One.Name_.value() == Target && !One.IsDraining_;
        });
      }));
}

} // namespace

TEST_CASE("a configuration that no watch has returned before the store forgets "
          "its history takes effect at all instances",
          "[hiddenchanges]") {
  const int Instances = GENERATE(1, 17, 48);
  // The changes come at different times of the watches.
  const int PhaseMs = GENERATE(0, 130, 260, 390, 520);
  CAPTURE(Instances, PhaseMs);
  SeededSimulation Fleet(Instances, Zones, Targets);
  Fleet.pass(seconds(3) + milliseconds(PhaseMs));
  Fleet.AreChangesHidden_ = true;
  Fleet.changeConfiguration("new");
  Fleet.change("t1", "target a draining");
  Fleet.remove("t2");
  Fleet.pass(milliseconds(900));
  Fleet.AreChangesHidden_ = false;
  Fleet.forgetHistory();
  Fleet.pass(MaxChangeDelay - milliseconds(900));
  CHECK(Fleet.staleCount() == 0);
  CHECK(countUsers(Fleet, "t1") == 0);
  CHECK(countUsers(Fleet, "t2") == 0);
}

TEST_CASE("a configuration is not missed when a watch returns only a later "
          "change",
          "[hiddenchanges]") {
  const int Instances = GENERATE(1, 17, 48);
  CAPTURE(Instances);
  SeededSimulation Fleet(Instances, Zones, Targets);
  Fleet.pass(seconds(3));
  Fleet.AreChangesHidden_ = true;
  Fleet.changeConfiguration("new");
  Fleet.AreChangesHidden_ = false;
  Fleet.change("t1", "target a draining");
  Fleet.pass(MaxChangeDelay);
  CHECK(Fleet.staleCount() == 0);
}

TEST_CASE("a store that counts its revision up without changes is not read "
          "whole all the time",
          "[hiddenchanges]") {
  const int Instances = GENERATE(17, 48);
  CAPTURE(Instances);
  SeededSimulation Fleet(Instances, Zones, Targets);
  const auto Pass = [&Fleet](framework::Duration Time) {
    for (framework::Duration Passed{}; Passed < Time;
         Passed += milliseconds(100)) {
      Fleet.countUp();
      Fleet.pass(milliseconds(100));
    }
  };
  Pass(seconds(5));
  const int Before = Fleet.FullReadCount_;
  Pass(seconds(20));
  // Two reads that find nothing are followed by 10 s of trust.
  CHECK(Fleet.FullReadCount_ - Before <= 2 * 3 * Instances);
  for (const SeededFleet &Each : Fleet.Instances_)
    CHECK(Each.view().age(Fleet.Now_.Monotonic_) < MaxChangeDelay);
}

TEST_CASE("configurations that watches do not return again and again all take "
          "effect",
          "[hiddenchanges]") {
  const int Instances = GENERATE(3, 17, 48);
  SeededSimulation Fleet(Instances, Zones, Targets);
  // Other instances may give what a read was to find before it ends.
  framework::Random Rng(1);
  Fleet.FullReadDelay_ = [&Rng] {
    return milliseconds(static_cast<int>(Rng.index(200)));
  };
  Fleet.pass(seconds(3));
  for (int Round = 0; Round < 12; ++Round) {
    CAPTURE(Instances, Round);
    Fleet.AreChangesHidden_ = true;
    Fleet.changeConfiguration("new");
    Fleet.pass(milliseconds(900));
    Fleet.AreChangesHidden_ = false;
    Fleet.forgetHistory();
    Fleet.pass(MaxChangeDelay - milliseconds(900));
    CHECK(Fleet.staleCount() == 0);
    Fleet.pass(milliseconds(70 * Round));
  }
}
