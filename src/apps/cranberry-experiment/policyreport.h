#ifndef CRANBERRYSPOOL_APPS_CRANBERRYEXPERIMENT_POLICYREPORT_H
#define CRANBERRYSPOOL_APPS_CRANBERRYEXPERIMENT_POLICYREPORT_H

#include "routing/experiment/policyresult.h"

#include <ostream>
#include <vector>

namespace cranberryspool::experiment {

/// Prints the results of one deployment, load and seed as a table, with the
/// ratios of each policy's latencies to those of the random policy and of the
/// oracle.
void printPolicyTable(const std::vector<PolicyResult> &Results,
                      std::ostream &Output);

/// Prints for one seed how many results of `Policy` meet the goals: a 99th and
/// 99.9th latency percentile of at most 0.5 times those of the random policy
/// and at most 1.2 times those of the oracle.
void printPolicyGoals(const std::vector<PolicyResult> &Results,
                      const std::string &Policy, std::ostream &Output);

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_APPS_CRANBERRYEXPERIMENT_POLICYREPORT_H
