#ifndef CRANBERRYSPOOL_ROUTING_EXPERIMENT_POLICYEXPERIMENT_H
#define CRANBERRYSPOOL_ROUTING_EXPERIMENT_POLICYEXPERIMENT_H

#include "routing/experiment/deployment.h"
#include "routing/experiment/policyresult.h"
#include "routing/experiment/workload.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryspool::experiment {

/// The parameters of a comparison of policies.
struct PolicyExperimentSettings {
  WorkloadSettings Offered_;
  std::uint64_t Seed_ = 1;
};

/// Returns the names of the compared policies, beginning with the default one.
std::vector<std::string> policyNames();

/// Runs one policy on the workload of the seed. Returns an empty result for an
/// unknown policy.
std::vector<PolicyResult> runPolicy(const std::string &Policy,
                                    const Deployment &Fleet,
                                    const PolicyExperimentSettings &Settings);

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_ROUTING_EXPERIMENT_POLICYEXPERIMENT_H
