#include "decision/tests/fleetsimulation.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::decision;
using framework::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The time from the beginning of a cut until callers must be served again.
constexpr Duration TimeToRecover = seconds(3);
/// The share of calls that must be answered at instances that are cut off, of
/// that at the others.
constexpr double MinRelativeShare = 2.0 / 3.0;
/// The number of instances to which a call may be offered.
constexpr std::size_t MaxForwardTries = 6;

} // namespace

TEST_CASE("callers of instances that reach no target are served", "[cutoff]") {
  const std::size_t CutOff = GENERATE(1, 8);
  FleetSimulationSettings Settings;
  Settings.Cut_ =
      GENERATE(CutBehavior::Reset, CutBehavior::Silent, CutBehavior::RefuseNew);
  FleetSimulation Fleet(Settings);
  Fleet.run(seconds(6));
  for (std::size_t Instance = 0; Instance < CutOff; ++Instance)
    Fleet.setCutOffFromTargets(Instance, true);
  const auto Since = Fleet.now() + TimeToRecover;
  Fleet.run(seconds(15));
  INFO("instances cut off " << CutOff << ", behavior "
                            << static_cast<int>(Settings.Cut_));
  CHECK(Fleet.answeredShare(true, Since) >=
        MinRelativeShare * Fleet.answeredShare(false, Since));
}

TEST_CASE("callers are refused at once when no instance reaches a target",
          "[cutoff]") {
  FleetSimulation Fleet{FleetSimulationSettings()};
  Fleet.run(seconds(6));
  for (std::size_t Instance = 0; Instance < 13; ++Instance)
    Fleet.setCutOffFromTargets(Instance, true);
  Fleet.run(TimeToRecover);
  const std::size_t RefusedBefore = Fleet.refusedCalls();
  const std::size_t ForwardedBefore = Fleet.forwardedCalls();
  Fleet.run(seconds(10));
  const std::size_t Refused = Fleet.refusedCalls() - RefusedBefore;
  CHECK(Refused > 0);
  // Each call is offered to a bounded number of instances, which forward it no
  // further.
  CHECK(Fleet.forwardedCalls() - ForwardedBefore <= MaxForwardTries * Refused);
  CHECK(Fleet.endedCalls(calls::EndingReason::DeadlinePassed) == 0);
}

TEST_CASE("calls are not forwarded any more once targets are reached again",
          "[cutoff]") {
  FleetSimulation Fleet{FleetSimulationSettings()};
  Fleet.run(seconds(6));
  Fleet.setCutOffFromTargets(4, true);
  Fleet.run(seconds(5));
  CHECK(Fleet.forwardedCalls() > 0);
  Fleet.setCutOffFromTargets(4, false);
  Fleet.run(seconds(1));
  const std::size_t Forwarded = Fleet.forwardedCalls();
  const std::size_t Refused = Fleet.refusedCalls();
  Fleet.run(seconds(10));
  CHECK(Fleet.forwardedCalls() == Forwarded);
  CHECK(Fleet.refusedCalls() == Refused);
}

TEST_CASE("calls are not forwarded when single targets crash", "[cutoff]") {
  FleetSimulationSettings Settings;
  Settings.Seed_ = GENERATE(1, 2, 3);
  FleetSimulation Fleet(Settings);
  framework::Random Rng(Settings.Seed_);
  Fleet.run(seconds(6));
  for (int Round = 0; Round < 20; ++Round) {
    Fleet.crash(Rng.index(Settings.Targets_));
    Fleet.run(milliseconds(1'500));
  }
  CHECK(Fleet.forwardedCalls() == 0);
}

TEST_CASE("a forwarded crashing request is not sent beyond its quarantine",
          "[cutoff][crash]") {
  FleetSimulation Fleet{FleetSimulationSettings()};
  Fleet.run(seconds(6));
  for (std::size_t Instance = 0; Instance < 8; ++Instance)
    Fleet.setCutOffFromTargets(Instance, true);
  Fleet.run(seconds(2));
  for (int Round = 0; Round < 30; ++Round) {
    Fleet.sendCrashingCall(Round % 13U);
    Fleet.run(milliseconds(400));
  }
  REQUIRE(Fleet.crashes().size() >= 3);
  CHECK(Fleet.crashingCallsSentAfter(Fleet.crashes()[2] + TimeToRecover) <= 3);
}

TEST_CASE("a call that must run at most once is not forwarded again when its "
          "outcome is lost",
          "[cutoff]") {
  FleetSimulationSettings Settings;
  Settings.Seed_ = GENERATE(1, 2, 3, 4, 5);
  Settings.AreCallsIdempotent_ = false;
  Settings.ForwardLoss_ = 0.3;
  FleetSimulation Fleet(Settings);
  Fleet.run(seconds(6));
  for (std::size_t Instance = 0; Instance < 8; ++Instance)
    Fleet.setCutOffFromTargets(Instance, true);
  Fleet.run(seconds(10));
  INFO("seed " << Settings.Seed_);
  CHECK(Fleet.forwardedCalls() > 100);
  CHECK(Fleet.mostRuns() == 1);
}

TEST_CASE("a forwarded call is sent to no more targets than its route allows",
          "[cutoff]") {
  FleetSimulationSettings Settings;
  Settings.Seed_ = GENERATE(1, 2, 3);
  Settings.ForwardLoss_ = 0.3;
  FleetSimulation Fleet(Settings);
  framework::Random Rng(Settings.Seed_);
  Fleet.run(seconds(6));
  for (std::size_t Instance = 0; Instance < 8; ++Instance)
    Fleet.setCutOffFromTargets(Instance, true);
  for (int Round = 0; Round < 30; ++Round) {
    Fleet.crash(Rng.index(Settings.Targets_));
    Fleet.run(milliseconds(400));
  }
  INFO("seed " << Settings.Seed_);
  CHECK(Fleet.mostRuns() <= 2);
}

TEST_CASE("the request limit of a target is kept while calls are forwarded",
          "[cutoff][limit]") {
  constexpr Duration Window = seconds(4);
  FleetSimulationSettings Settings;
  Settings.Seed_ = GENERATE(1, 2, 3);
  Settings.CallsPerSecond_ = 120;
  FleetSimulation Fleet(Settings);
  Fleet.run(seconds(6));
  for (std::size_t Instance = 0; Instance < 8; ++Instance)
    Fleet.setCutOffFromTargets(Instance, true);
  Fleet.startLimit();
  const auto Since = Fleet.now() + TimeToRecover;
  Fleet.run(seconds(15));
  INFO("seed " << Settings.Seed_);
  CHECK(Fleet.forwardedCalls() > 100);
  // One and a half times the limit and 5 requests are allowed in any window.
  CHECK(static_cast<double>(Fleet.mostRequests(Window, Since)) <=
        1.5 * Settings.LimitPerSecond_ *
                std::chrono::duration<double>(Window).count() +
            5);
}
