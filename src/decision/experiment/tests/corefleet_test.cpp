#include "decision/experiment/corefleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace cranberryspool;
using namespace cranberryspool::experiment;
using document::Urgency;
using std::chrono::seconds;

namespace {

struct RunResult {
  std::size_t Answered_ = 0;
  std::size_t NotRun_ = 0;
  std::size_t Unknown_ = 0;
  framework::Duration P99_{};
  CoreTotals Totals_;
  std::vector<framework::Instant> AnsweredAt_;
};

RunResult runCentralBelt(const Workload &Work, const Deployment &Fleet) {
  std::ifstream Input("examples/central-belt.json");
  std::ostringstream Text;
  Text << Input.rdbuf();
  CoreFleetSettings Settings;
  Settings.Document_ = Text.str();
  Settings.Warmup_ = framework::Duration::zero();
  CoreFleet Simulation(Fleet, Settings, Work);
  Simulation.run();
  RunResult Sum;
  for (std::uint32_t Service = 0; Service < Fleet.Services_.size(); ++Service)
    for (const auto Urgency : {Urgency::Urgent, Urgency::Ordinary}) {
      const CallResults &Found = Simulation.results(Service, Urgency);
      Sum.Answered_ += Found.Latencies_.size();
      Sum.NotRun_ += Found.NotRun_;
      Sum.Unknown_ += Found.Late_;
      Sum.AnsweredAt_.insert(Sum.AnsweredAt_.end(), Found.AnsweredAt_.begin(),
                             Found.AnsweredAt_.end());
      Sum.P99_ = std::max(Sum.P99_, Found.quantile(0.99));
    }
  Sum.Totals_ = Simulation.totals();
  return Sum;
}

} // namespace

TEST_CASE("simulated cores answer every call with few hedges", "[experiment]") {
  const Deployment Fleet = centralBelt();
  WorkloadSettings Offered;
  Offered.Length_ = seconds(4);
  const Workload Work = makeWorkload(Fleet, Offered, 1);
  const RunResult First = runCentralBelt(Work, Fleet);
  CHECK(First.Answered_ == Work.Arrivals_.size());
  CHECK(First.NotRun_ + First.Unknown_ == 0);
  CHECK(First.Totals_.HedgesSent_ > 0);
  CHECK(20 * First.Totals_.HedgesSent_ < Work.Arrivals_.size());
  const RunResult Second = runCentralBelt(Work, Fleet);
  CHECK(Second.P99_ == First.P99_);
  CHECK(Second.Totals_.AttemptsSent_ == First.Totals_.AttemptsSent_);
}

TEST_CASE("simulated cores recover within 2 s of a burst of twice the capacity",
          "[experiment]") {
  const Deployment Fleet = centralBelt();
  WorkloadSettings Offered;
  Offered.BurstLoad_ = 2;
  Offered.BurstFrom_ = seconds(1);
  Offered.BurstUntil_ = seconds(11);
  Offered.Length_ = seconds(16);
  const Workload Work = makeWorkload(Fleet, Offered, 3);
  const RunResult Result = runCentralBelt(Work, Fleet);
  CHECK(Result.Answered_ + Result.NotRun_ + Result.Unknown_ ==
        Work.Arrivals_.size());
  CHECK(Result.NotRun_ > 0);
  const auto IsAfter = [](framework::Instant At) {
    return At >= startOfRun() + seconds(13) && At < startOfRun() + seconds(16);
  };
  const auto Answers = std::count_if(Result.AnsweredAt_.begin(),
                                     Result.AnsweredAt_.end(), IsAfter);
  const auto Arrivals =
      std::count_if(Work.Arrivals_.begin(), Work.Arrivals_.end(),
                    [&](const auto &Arrival) { return IsAfter(Arrival.At_); });
  CHECK(static_cast<double>(Answers) > 0.95 * static_cast<double>(Arrivals));
}
