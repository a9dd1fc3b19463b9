#include "calls/requestquarantine.h"
#include "decision/tests/fleetsimulation.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::decision;
using framework::Duration;
using framework::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The time from the third crash until all instances must know the request, and
/// the number of its repeats that may reach targets later than that.
constexpr Duration TimeToComply = seconds(3);
constexpr std::size_t MaxLaterRepeats = 3;
constexpr std::size_t ToleratedCrashes = 3;

/// Lets the caller of a crashing request repeat it at random instances.
void repeatCrashingCall(FleetSimulation &Fleet, framework::Random &Rng,
                        std::size_t Instances, Duration Time) {
  const Instant End = Fleet.now() + Time;
  while (Fleet.now() < End) {
    Fleet.sendCrashingCall(Rng.index(Instances));
    Fleet.run(milliseconds(100 + Rng.index(600)));
  }
}

std::size_t laterRepeats(const FleetSimulation &Fleet) {
  REQUIRE(Fleet.crashes().size() >= ToleratedCrashes);
  return Fleet.crashingCallsSentAfter(Fleet.crashes()[ToleratedCrashes - 1] +
                                      TimeToComply);
}

} // namespace

TEST_CASE("a request that has crashed three targets is not sent again by any "
          "instance",
          "[crash]") {
  FleetSimulationSettings Settings;
  Settings.Seed_ = GENERATE(1, 2, 3);
  Settings.Instances_ = GENERATE(13, 60);
  FleetSimulation Fleet(Settings);
  framework::Random Rng(Settings.Seed_);
  Fleet.run(seconds(4));
  repeatCrashingCall(Fleet, Rng, Settings.Instances_, seconds(20));
  INFO("seed " << Settings.Seed_ << ", instances " << Settings.Instances_);
  CHECK(laterRepeats(Fleet) <= MaxLaterRepeats);
  CHECK(Fleet.endedCalls(calls::EndingReason::RequestQuarantined) == 0);
}

TEST_CASE("instances that miss messages or have just restarted do not send a "
          "crashing request",
          "[crash]") {
  FleetSimulationSettings Settings;
  Settings.Seed_ = GENERATE(1, 2, 3);
  Settings.MessageLoss_ = 0.2;
  FleetSimulation Fleet(Settings);
  framework::Random Rng(Settings.Seed_);
  Fleet.run(seconds(4));
  repeatCrashingCall(Fleet, Rng, Settings.Instances_, seconds(4));
  for (std::size_t Instance = 0; Instance < Settings.Instances_; ++Instance) {
    Fleet.restart(Instance);
    Fleet.run(TimeToComply);
    Fleet.sendCrashingCall(Instance);
    Fleet.run(milliseconds(500));
  }
  INFO("seed " << Settings.Seed_);
  CHECK(laterRepeats(Fleet) <= MaxLaterRepeats);
}

TEST_CASE("an instance that was cut off from the others learns of a crashing "
          "request",
          "[crash]") {
  FleetSimulationSettings Settings;
  FleetSimulation Fleet(Settings);
  framework::Random Rng(5);
  Fleet.run(seconds(4));
  Fleet.setCutOffFromPeers(12, true);
  repeatCrashingCall(Fleet, Rng, 12, seconds(5));
  Fleet.setCutOffFromPeers(12, false);
  Fleet.run(TimeToComply);
  Fleet.sendCrashingCall(12);
  Fleet.run(seconds(1));
  CHECK(laterRepeats(Fleet) <= MaxLaterRepeats);
  CHECK(Fleet.crashingCallEndings().back().Reason_ ==
        calls::EndingReason::RequestQuarantined);
}

TEST_CASE("the caller of a quarantined request is told at once that it has not "
          "run and when to come back",
          "[crash]") {
  FleetSimulation Fleet{FleetSimulationSettings()};
  framework::Random Rng(1);
  Fleet.run(seconds(4));
  repeatCrashingCall(Fleet, Rng, 13, seconds(6));
  const std::size_t Before = Fleet.crashingCallEndings().size();
  Fleet.sendCrashingCall(3);
  REQUIRE(Fleet.crashingCallEndings().size() == Before + 1);
  const RefuseCall &Ended = Fleet.crashingCallEndings().back();
  CHECK(Ended.Ending_ == calls::Ending::NotRun);
  CHECK(Ended.Reason_ == calls::EndingReason::RequestQuarantined);
  CHECK(Ended.RetryAfter_ > std::chrono::minutes(9));
  CHECK(Ended.RetryAfter_ <= calls::RequestQuarantine::Period);
}

TEST_CASE("requests are not quarantined when targets crash for other reasons",
          "[crash]") {
  FleetSimulationSettings Settings;
  Settings.Seed_ = GENERATE(1, 2, 3, 4, 5);
  FleetSimulation Fleet(Settings);
  framework::Random Rng(Settings.Seed_);
  Fleet.run(seconds(4));
  for (int Round = 0; Round < 60; ++Round) {
    Fleet.crash(Rng.index(Settings.Targets_));
    Fleet.run(milliseconds(50 + Rng.index(200)));
  }
  INFO("seed " << Settings.Seed_);
  CHECK(Fleet.endedCalls(calls::EndingReason::RequestQuarantined) == 0);
}

TEST_CASE("requests are not quarantined when instances lose the network to all "
          "targets",
          "[crash]") {
  FleetSimulationSettings Settings;
  Settings.Seed_ = GENERATE(1, 2, 3);
  Settings.AreRequestsAlike_ = true;
  FleetSimulation Fleet(Settings);
  Fleet.run(seconds(6));
  for (std::size_t Instance = 0; Instance < Settings.Instances_; ++Instance) {
    Fleet.setCutOffFromTargets(Instance, true);
    Fleet.run(milliseconds(300));
    Fleet.setCutOffFromTargets(Instance, false);
    Fleet.run(milliseconds(200));
  }
  INFO("seed " << Settings.Seed_);
  CHECK(Fleet.endedCalls(calls::EndingReason::RequestQuarantined) == 0);
}

TEST_CASE("a request of many callers that targets complete stays allowed while "
          "targets crash",
          "[crash]") {
  FleetSimulationSettings Settings;
  Settings.AreRequestsAlike_ = true;
  FleetSimulation Fleet(Settings);
  framework::Random Rng(1);
  Fleet.run(seconds(4));
  for (int Round = 0; Round < 60; ++Round) {
    Fleet.crash(Rng.index(Settings.Targets_));
    Fleet.run(milliseconds(400));
  }
  CHECK(Fleet.endedCalls(calls::EndingReason::RequestQuarantined) == 0);
}
