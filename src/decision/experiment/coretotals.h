#ifndef CRANBERRYSPOOL_DECISION_EXPERIMENT_CORETOTALS_H
#define CRANBERRYSPOOL_DECISION_EXPERIMENT_CORETOTALS_H

#include <cstdint>

namespace cranberryspool::experiment {

/// The summed counters of all cores of a run.
struct CoreTotals {
  std::uint64_t AttemptsSent_ = 0;
  std::uint64_t RetriesSent_ = 0;
  std::uint64_t HedgesSent_ = 0;
  std::uint64_t HedgesWon_ = 0;
  std::uint64_t ProbesSent_ = 0;
};

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_DECISION_EXPERIMENT_CORETOTALS_H
