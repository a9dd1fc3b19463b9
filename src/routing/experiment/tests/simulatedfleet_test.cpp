#include "routing/defaultpolicy.h"
#include "routing/experiment/oraclepolicy.h"
#include "routing/experiment/policyexperiment.h"
#include "routing/experiment/simulatedfleet.h"
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

/// One small service, so that simulations are short.
Deployment smallFleet() {
  Deployment Fleet = lagos();
  Fleet.Instances_ = 6;
  Fleet.Services_ = {
      {"small", 6, 4, milliseconds(10), 0.3, seconds(1), {}, {}}};
  return Fleet;
}

using Fleet = SimulatedFleet<routing::DefaultPolicy>;

Fleet::PolicyFactory makeDefault() {
  return [](const TargetGroundTruth &) { return routing::DefaultPolicy(); };
}

/// Returns the rate of calls answered within their deadline in [From, Until),
/// as a fraction of the capacity.
double goodput(const Fleet &Run, const Deployment &Sizes, Duration From,
               Duration Until) {
  double Good = 0;
  for (const auto Urgency : {Urgency::Urgent, Urgency::Ordinary}) {
    const CallResults &Measured = Run.results(0, Urgency);
    for (std::size_t Index = 0; Index < Measured.Latencies_.size(); ++Index) {
      const Duration At = Measured.AnsweredAt_[Index] - startOfRun();
      const bool IsInTime =
          Measured.Latencies_[Index] <= Sizes.Services_[0].Deadline_;
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

TEST_CASE("goodput is stable in a burst of twice the capacity and recovers "
          "after it",
          "[experiment]") {
  const Deployment Sizes = smallFleet();
  WorkloadSettings Offered;
  Offered.Load_ = 0.7;
  Offered.BurstLoad_ = 2;
  Offered.BurstFrom_ = seconds(3);
  Offered.BurstUntil_ = seconds(13);
  Offered.Length_ = seconds(18);
  const Workload Work = makeWorkload(Sizes, Offered, 1);
  Fleet Run(Sizes, SimulationSettings{}, Work, makeDefault());
  Run.run();
  CHECK(goodput(Run, Sizes, seconds(5), seconds(13)) > 0.8);
  CHECK(goodput(Run, Sizes, seconds(15), seconds(18)) > 0.95 * 0.7);
  const CallResults &Urgent = Run.results(0, Urgency::Urgent);
  const CallResults &Ordinary = Run.results(0, Urgency::Ordinary);
  CHECK(Urgent.NotRun_ == 0);
  CHECK(Ordinary.NotRun_ > 0);
  CHECK(Urgent.quantile(0.99) < milliseconds(200));
}

TEST_CASE("every call of a simulation ends once", "[experiment]") {
  const Deployment Sizes = smallFleet();
  WorkloadSettings Offered;
  Offered.Load_ = GENERATE(0.7, 1.5);
  Offered.Length_ = seconds(3);
  const Workload Work = makeWorkload(Sizes, Offered, 2);
  SimulationSettings Settings;
  Settings.Warmup_ = Duration::zero();
  Settings.MaxTargetQueue_ = 2;
  Fleet Run(Sizes, Settings, Work, makeDefault());
  Run.run();
  std::size_t Ended = 0;
  for (const auto Urgency : {Urgency::Urgent, Urgency::Ordinary})
    Ended += Run.results(0, Urgency).Latencies_.size() +
             Run.results(0, Urgency).NotRun_;
  CHECK(Ended == Work.Arrivals_.size());
}

TEST_CASE("the same seed gives the same results", "[experiment]") {
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

TEST_CASE("the default policy meets its objective for the largest service",
          "[experiment]") {
  PolicyExperimentSettings Settings;
  Settings.Offered_.Length_ = seconds(6);
  const auto DefaultResults = runPolicy("affinity", lagos(), Settings);
  const auto RandomResults = runPolicy("random", lagos(), Settings);
  const auto OracleResults = runPolicy("oracle", lagos(), Settings);
  for (std::size_t Index = 0; Index < 2; ++Index) {
    REQUIRE(DefaultResults[Index].Service_ == "ledger-read");
    CHECK(DefaultResults[Index].P99_ <= RandomResults[Index].P99_ / 2);
    CHECK(DefaultResults[Index].P999_ <= RandomResults[Index].P999_ / 2);
    CHECK(DefaultResults[Index].P99_.count() <=
          1.2 * OracleResults[Index].P99_.count());
  }
}

TEST_CASE("a simulated target works with its slots and its speed",
          "[experiment]") {
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
