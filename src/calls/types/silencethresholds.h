#ifndef CRANBERRYSPOOL_CALLS_TYPES_SILENCETHRESHOLDS_H
#define CRANBERRYSPOOL_CALLS_TYPES_SILENCETHRESHOLDS_H

#include "framework/time.h"

#include <cstdint>

namespace cranberryspool::calls {

/// How much evidence it takes to call a connection silent.
struct SilenceThresholds {
  /// Answers on other connections to attempts that were sent later.
  std::uint32_t LaterAnswers_ = 1;
  /// The wait must exceed the slowest of those answers this many times.
  std::uint32_t WaitFactor_ = 1;
  /// The wait must exceed this in any case.
  framework::Duration MinWait_{};
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_SILENCETHRESHOLDS_H
