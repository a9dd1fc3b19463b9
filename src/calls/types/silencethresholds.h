#ifndef CRANBERRYSPOOL_CALLS_TYPES_SILENCETHRESHOLDS_H
#define CRANBERRYSPOOL_CALLS_TYPES_SILENCETHRESHOLDS_H

#include "framework/time.h"

#include <cstdint>

namespace cranberryspool::calls {

/// The thresholds above which a connection counts as silent.
struct SilenceThresholds {
  /// The number of later attempts that must have been answered on other
  /// connections.
  std::uint32_t LaterAnswers_ = 1;
  /// The ratio between the attempt's age and the slowest of those responses
  /// that must be reached.
  std::uint32_t WaitFactor_ = 1;
  /// The minimum age of the attempt.
  framework::Duration MinWait_{};
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_SILENCETHRESHOLDS_H
