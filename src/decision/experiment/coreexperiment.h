#ifndef CRANBERRYSPOOL_DECISION_EXPERIMENT_COREEXPERIMENT_H
#define CRANBERRYSPOOL_DECISION_EXPERIMENT_COREEXPERIMENT_H

#include "decision/experiment/coretotals.h"
#include "routing/experiment/policyexperiment.h"

#include <string>
#include <vector>

namespace cranberryspool::experiment {

/// Runs complete decision cores, including hedges, retries, connections and the
/// fleet, on the same calls as `runPolicy`. `Document` is the text of the
/// environment document of the deployment. The results have the policy name
/// `core`.
std::vector<PolicyResult> runCores(const Deployment &Fleet,
                                   const PolicyExperimentSettings &Settings,
                                   const std::string &Document,
                                   CoreTotals &Totals);

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_DECISION_EXPERIMENT_COREEXPERIMENT_H
