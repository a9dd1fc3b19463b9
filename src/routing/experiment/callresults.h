#ifndef CRANBERRYSPOOL_ROUTING_EXPERIMENT_CALLRESULTS_H
#define CRANBERRYSPOOL_ROUTING_EXPERIMENT_CALLRESULTS_H

#include "framework/time.h"

#include <cstdint>
#include <vector>

namespace cranberryspool::experiment {

/// The results of the calls of one service and urgency.
struct CallResults {
  std::vector<framework::Duration> Latencies_;
  /// The times at which the calls were answered, in the order of `Latencies_`.
  std::vector<framework::Instant> AnsweredAt_;
  std::uint64_t NotRun_ = 0;
  std::uint64_t Late_ = 0;

  /// Returns the smallest latency that the fraction `Share` of the answered
  /// calls does not exceed.
  framework::Duration quantile(double Share) const;
};

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_ROUTING_EXPERIMENT_CALLRESULTS_H
