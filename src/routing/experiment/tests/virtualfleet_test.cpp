#include "routing/defaultpolicy.h"
#include "routing/experiment/oraclepolicy.h"
#include "routing/experiment/policyexperiment.h"
#include "routing/experiment/virtualfleet.h"
#include "routing/policies/randompolicy.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::experiment;
using document::Urgency;
using framework::Duration;
using framework::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// One small service, so that a run is short.
Deployment smallFleet() {
  Deployment Fleet = lagos();
  Fleet.Instances_ = 6;
  Fleet.Services_ = {
      {"small", 6, 4, milliseconds(10), 0.3, seconds(1), {}, {}}};
  return Fleet;
}

using Fleet = VirtualFleet<routing::DefaultPolicy>;

Fleet::PolicyFactory makeDefault() {
  return [](const TargetTruth &) { return routing::DefaultPolicy(); };
}

/// Answers within the deadline in [From, Until), as a share of the capacity.
double goodput(const Fleet &Run, const Deployment &Sizes, Duration From,
               Duration Until) {
  double Good = 0;
  for (const auto Urgency : {Urgency::Urgent, Urgency::Ordinary}) {
    const CallResults &Found = Run.results(0, Urgency);
    for (std::size_t Index = 0; Index < Found.Latencies_.size(); ++Index) {
      const Duration At = Found.AnsweredAt_[Index] - startOfRun();
      const bool IsInTime =
          Found.Latencies_[Index] <= Sizes.Services_[0].Deadline_;
      Good += IsInTime && At >= From && At < Until;
    }
  }
  const ServiceModel &Model = Sizes.Services_[0];
  const double Slots = Model.Targets_ * Model.SlotsPerTarget_;
  const double Capacity = Slots * static_cast<double>((Until - From).count()) /
                          static_cast<double>(Model.MeanWork_.count());
  return Good / Capacity;
}

} // namespace

TEST_CASE("goodput holds in a burst of twice the capacity and is back after it",
          "[experiment]") {
  const Deployment Sizes = smallFleet();
  WorkloadSettings Offered;
  Offered.Load_ = 0.7;
  Offered.BurstLoad_ = 2;
  Offered.BurstFrom_ = seconds(3);
  Offered.BurstUntil_ = seconds(13);
  Offered.Length_ = seconds(18);
  const Workload Work = makeWorkload(Sizes, Offered, 1);
  Fleet Run(Sizes, FleetSettings{}, Work, makeDefault());
  Run.run();
  CHECK(goodput(Run, Sizes, seconds(5), seconds(13)) > 0.8);
  CHECK(goodput(Run, Sizes, seconds(15), seconds(18)) > 0.95 * 0.7);
  const CallResults &Urgent = Run.results(0, Urgency::Urgent);
  const CallResults &Ordinary = Run.results(0, Urgency::Ordinary);
  CHECK(Urgent.NotRun_ == 0);
  CHECK(Ordinary.NotRun_ > 0);
  CHECK(Urgent.quantile(0.99) < milliseconds(200));
}

TEST_CASE("every call of a virtual run ends once", "[experiment]") {
  const Deployment Sizes = smallFleet();
  WorkloadSettings Offered;
  Offered.Load_ = GENERATE(0.7, 1.5);
  Offered.Length_ = seconds(3);
  const Workload Work = makeWorkload(Sizes, Offered, 2);
  FleetSettings Settings;
  Settings.Warmup_ = Duration::zero();
  Settings.MaxQueueOfTarget_ = 2;
  Fleet Run(Sizes, Settings, Work, makeDefault());
  Run.run();
  std::size_t Ended = 0;
  for (const auto Urgency : {Urgency::Urgent, Urgency::Ordinary})
    Ended += Run.results(0, Urgency).Latencies_.size() +
             Run.results(0, Urgency).NotRun_;
  CHECK(Ended == Work.Arrivals_.size());
}

TEST_CASE("the same seed gives the same run", "[experiment]") {
  PolicyExperimentSettings Settings;
  Settings.Offered_.Length_ = seconds(2);
  const auto First = runPolicy("affinity", centralBelt(), Settings);
  const auto Second = runPolicy("affinity", centralBelt(), Settings);
  REQUIRE(First.size() == 8);
  for (std::size_t Index = 0; Index < First.size(); ++Index) {
    CHECK(First[Index].P99_ == Second[Index].P99_);
    CHECK(First[Index].Answered_ == Second[Index].Answered_);
  }
}

TEST_CASE("the default policy keeps the goal for the largest service",
          "[experiment]") {
  PolicyExperimentSettings Settings;
  Settings.Offered_.Length_ = seconds(6);
  const auto Ours = runPolicy("affinity", lagos(), Settings);
  const auto Random = runPolicy("random", lagos(), Settings);
  const auto Oracle = runPolicy("oracle", lagos(), Settings);
  for (std::size_t Index = 0; Index < 2; ++Index) {
    REQUIRE(Ours[Index].Service_ == "ledger-read");
    CHECK(Ours[Index].P99_ <= Random[Index].P99_ / 2);
    CHECK(Ours[Index].P999_ <= Random[Index].P999_ / 2);
    CHECK(Ours[Index].P99_.count() <= 1.2 * Oracle[Index].P99_.count());
  }
}

TEST_CASE("a virtual target works by its slots and its speed", "[experiment]") {
  const Instant Start = startOfRun();
  SimulatedTarget Target(1, 1, milliseconds(100));
  REQUIRE(Target.accept(1, milliseconds(10), Start));
  REQUIRE(Target.accept(2, milliseconds(10), Start));
  CHECK_FALSE(Target.accept(3, milliseconds(10), Start));
  Target.setSpeed(0.5, Start + milliseconds(4));
  CHECK(Target.nextCompletion()->At_ == Start + milliseconds(16));
  Target.complete(1, Start + milliseconds(16));
  CHECK(Target.nextCompletion()->Job_ == 2);
  CHECK(Target.nextCompletion()->At_ == Start + milliseconds(36));
  CHECK(Target.report(Start + milliseconds(99)).Queued_ == 0);
  CHECK(Target.report(Start + milliseconds(100)).Queued_ == 1);
}
