#include "routing/experiment/policyexperiment.h"

#include "routing/defaultpolicy.h"
#include "routing/experiment/oraclepolicy.h"
#include "routing/experiment/simulatedfleet.h"
#include "routing/experiment/summarize.h"
#include "routing/policies/blendpolicy.h"
#include "routing/policies/hotcoldpolicy.h"
#include "routing/policies/leastoutstandingpolicy.h"
#include "routing/policies/randompolicy.h"
#include "routing/policies/roundrobinpolicy.h"

#include <functional>
#include <map>

namespace cranberryspool::experiment {

namespace {

using framework::Duration;
using std::chrono::milliseconds;

using Runner = std::function<std::vector<PolicyResult>(
    const Deployment &, SimulationSettings, const Workload &)>;

template <typename Policy, typename MakePolicy>
Runner makeRunner(bool HasLimits, Duration PeerUpdateInterval,
                  MakePolicy Make) {
  return [=](const Deployment &Fleet, SimulationSettings Settings,
             const Workload &Work) {
    Settings.HasLimits_ = HasLimits;
    Settings.PeerUpdateInterval_ = PeerUpdateInterval;
    SimulatedFleet<Policy> Run(Fleet, Settings, Work, Make);
    Run.run();
    return summarize(
        "", Fleet,
        [&](std::uint32_t Service, auto Urgency) -> const CallResults & {
          return Run.results(Service, Urgency);
        });
  };
}

template <typename Policy> Runner makeBaseline() {
  return makeRunner<Policy>(false, {},
                            [](const TargetGroundTruth &) { return Policy(); });
}

template <bool KnowsSpeed> Runner makeOracle() {
  using Oracle = OraclePolicy<TargetGroundTruth, KnowsSpeed>;
  return makeRunner<Oracle>(
      false, {}, [](const TargetGroundTruth &Truth) { return Oracle(Truth); });
}

Runner makeBlend(Duration PeerUpdateInterval) {
  return makeRunner<routing::BlendPolicy>(
      true, PeerUpdateInterval, [](const TargetGroundTruth &) {
        return routing::BlendPolicy(routing::BlendSettings{});
      });
}

Runner makeAffinity(bool HasLimits) {
  return makeRunner<routing::DefaultPolicy>(
      HasLimits, {},
      [](const TargetGroundTruth &) { return routing::DefaultPolicy(); });
}

std::vector<std::pair<std::string, Runner>> makeRunners() {
  return {{"affinity", makeAffinity(true)},
          {"affinity-free", makeAffinity(false)},
          {"blend", makeBlend(milliseconds(50))},
          {"blend-alone", makeBlend({})},
          {"hot-cold", makeBaseline<routing::HotColdPolicy>()},
          {"random", makeBaseline<routing::RandomPolicy>()},
          {"round-robin", makeBaseline<routing::RoundRobinPolicy>()},
          {"least-own", makeBaseline<routing::LeastOutstandingPolicy>()},
          {"oracle", makeOracle<false>()},
          {"oracle-speed", makeOracle<true>()}};
}

} // namespace

std::vector<std::string> policyNames() {
  std::vector<std::string> Names;
  for (const auto &[Name, Run] : makeRunners())
    Names.push_back(Name);
  return Names;
}

std::vector<PolicyResult> runPolicy(const std::string &Policy,
                                    const Deployment &Fleet,
                                    const PolicyExperimentSettings &Settings) {
  const Workload Work = makeWorkload(Fleet, Settings.Offered_, Settings.Seed_);
  SimulationSettings Instances;
  Instances.Seed_ = Settings.Seed_;
  for (const auto &[Name, Run] : makeRunners()) {
    if (Name != Policy)
      continue;
    auto Output = Run(Fleet, Instances, Work);
    for (PolicyResult &Result : Output)
      Result.Policy_ = Name;
    return Output;
  }
  return {};
}

} // namespace cranberryspool::experiment
