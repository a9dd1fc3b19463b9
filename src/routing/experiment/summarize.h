#ifndef CRANBERRYSPOOL_ROUTING_EXPERIMENT_SUMMARIZE_H
#define CRANBERRYSPOOL_ROUTING_EXPERIMENT_SUMMARIZE_H

#include "routing/experiment/callresults.h"
#include "routing/experiment/deployment.h"
#include "routing/experiment/policyresult.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryspool::experiment {

/// Returns one row per service and urgency of a simulation, for which
/// `Results(Service, Urgency)` must return the `CallResults`.
template <typename ResultsOf>
std::vector<PolicyResult> summarize(const std::string &Policy,
                                    const Deployment &Fleet,
                                    const ResultsOf &Results) {
  std::vector<PolicyResult> Rows;
  for (std::uint32_t Service = 0; Service < Fleet.Services_.size(); ++Service)
    for (const auto Urgency :
         {document::Urgency::Urgent, document::Urgency::Ordinary}) {
      const CallResults &Measured = Results(Service, Urgency);
      Rows.push_back({Policy, Fleet.Services_[Service].Name_, Urgency,
                      Measured.Latencies_.size(), Measured.NotRun_,
                      Measured.Late_, Measured.quantile(0.5),
                      Measured.quantile(0.99), Measured.quantile(0.999)});
    }
  return Rows;
}

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_ROUTING_EXPERIMENT_SUMMARIZE_H
