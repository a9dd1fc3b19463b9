#ifndef CRANBERRYSPOOL_TRIAL_TYPES_KINDRESULT_H
#define CRANBERRYSPOOL_TRIAL_TYPES_KINDRESULT_H

#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>

namespace cranberryspool::trial {

/// The results of the calls of one request kind in a trial.
struct KindResult {
  framework::ServiceName Service_;
  framework::KindName Kind_;
  std::uint64_t Calls_ = 0;
  /// Calls that were answered with status 200.
  std::uint64_t Answered_ = 0;
  /// Calls that were refused, were not answered, or were answered with a status
  /// other than 200. None should occur with healthy targets. Reports show this
  /// number as `lost`.
  std::uint64_t Failed_ = 0;
  /// Calls of a non-idempotent kind that targets ran more than once.
  std::uint64_t RunTwice_ = 0;
  /// The median latency of the answered calls.
  framework::Duration P50_{};
  /// The 99th percentile of the latency of the answered calls.
  framework::Duration P99_{};
};

} // namespace cranberryspool::trial

#endif // CRANBERRYSPOOL_TRIAL_TYPES_KINDRESULT_H
