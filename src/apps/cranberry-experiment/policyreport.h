#ifndef CRANBERRYSPOOL_APPS_CRANBERRYEXPERIMENT_POLICYREPORT_H
#define CRANBERRYSPOOL_APPS_CRANBERRYEXPERIMENT_POLICYREPORT_H

#include "routing/experiment/policyresult.h"

#include <ostream>
#include <vector>

namespace cranberryspool::experiment {

/// Prints the results of one deployment, load and seed as a table, with the
/// ratios of each policy to random and to the oracle.
void printPolicyTable(const std::vector<PolicyResult> &Results,
                      std::ostream &Output);

/// Prints for one seed where `Policy` misses the goal: the 99th and 99.9th
/// percentile at most 0.5 times random's and 1.2 times the oracle's.
void printPolicyVerdict(const std::vector<PolicyResult> &Results,
                        const std::string &Policy, std::ostream &Output);

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_APPS_CRANBERRYEXPERIMENT_POLICYREPORT_H
