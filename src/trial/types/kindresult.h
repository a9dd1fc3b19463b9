#ifndef CRANBERRYSPOOL_TRIAL_TYPES_KINDRESULT_H
#define CRANBERRYSPOOL_TRIAL_TYPES_KINDRESULT_H

#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>

namespace cranberryspool::trial {

/// What became of the calls of one kind in a trial.
struct KindResult {
  framework::ServiceName Service_;
  framework::KindName Kind_;
  std::uint64_t Calls_ = 0;
  std::uint64_t Answered_ = 0;
  /// Answers, refusals and losses that should not occur with healthy targets.
  std::uint64_t Lost_ = 0;
  /// Calls of a non-idempotent kind that ran more than once.
  std::uint64_t RunTwice_ = 0;
  framework::Duration P50_{};
  framework::Duration P99_{};
};

} // namespace cranberryspool::trial

#endif // CRANBERRYSPOOL_TRIAL_TYPES_KINDRESULT_H
