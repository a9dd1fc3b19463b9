#ifndef CRANBERRYSPOOL_ROUTING_EXPERIMENT_POLICYEXPERIMENT_H
#define CRANBERRYSPOOL_ROUTING_EXPERIMENT_POLICYEXPERIMENT_H

#include "routing/experiment/deployment.h"
#include "routing/experiment/policyresult.h"
#include "routing/experiment/workload.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryspool::experiment {

/// What one comparison of the policies runs.
struct PolicyExperimentSettings {
  WorkloadSettings Offered_;
  std::uint64_t Seed_ = 1;
};

/// The names of the policies that are compared, ours first.
std::vector<std::string> policyNames();

/// Runs one policy over the workload of the seed; an unknown name gives an
/// empty result.
std::vector<PolicyResult> runPolicy(const std::string &Policy,
                                    const Deployment &Fleet,
                                    const PolicyExperimentSettings &Settings);

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_ROUTING_EXPERIMENT_POLICYEXPERIMENT_H
