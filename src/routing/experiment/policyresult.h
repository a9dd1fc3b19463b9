#ifndef CRANBERRYSPOOL_ROUTING_EXPERIMENT_POLICYRESULT_H
#define CRANBERRYSPOOL_ROUTING_EXPERIMENT_POLICYRESULT_H

#include "document/types/urgency.h"
#include "framework/time.h"

#include <cstdint>
#include <string>

namespace cranberryspool::experiment {

/// The measurements of one policy for one service and urgency.
struct PolicyResult {
  std::string Policy_;
  std::string Service_;
  document::Urgency Urgency_ = document::Urgency::Ordinary;
  std::uint64_t Answered_ = 0;
  std::uint64_t NotRun_ = 0;
  /// Calls that were answered after the deadline or whose outcome is unknown.
  std::uint64_t Late_ = 0;
  framework::Duration P50_{};
  framework::Duration P99_{};
  framework::Duration P999_{};
};

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_ROUTING_EXPERIMENT_POLICYRESULT_H
