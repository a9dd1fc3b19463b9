#include "decision/experiment/coreexperiment.h"

#include "decision/experiment/corefleet.h"
#include "routing/experiment/summarize.h"

namespace cranberryspool::experiment {

std::vector<PolicyResult> runCores(const Deployment &Fleet,
                                   const PolicyExperimentSettings &Settings,
                                   const std::string &Document,
                                   CoreTotals &Totals) {
  const Workload Work = makeWorkload(Fleet, Settings.Offered_, Settings.Seed_);
  CoreFleetSettings FleetSettings;
  FleetSettings.Seed_ = Settings.Seed_;
  FleetSettings.Document_ = Document;
  CoreFleet Simulation(Fleet, FleetSettings, Work);
  Simulation.run();
  Totals = Simulation.totals();
  return summarize(
      "core", Fleet,
      [&](std::uint32_t Service, auto Urgency) -> const CallResults & {
        return Simulation.results(Service, Urgency);
      });
}

} // namespace cranberryspool::experiment
