#ifndef CRANBERRYSPOOL_CALLS_LATENCYESTIMATE_H
#define CRANBERRYSPOOL_CALLS_LATENCYESTIMATE_H

#include "framework/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace cranberryspool::calls {

/// A quantile of recent times, from a histogram with logarithmic buckets whose
/// counts are halved each time that it is full, so that old times fade out.
class LatencyEstimate {
public:
  /// `QuantilePerThousand` is for example 950 for the 95th percentile.
  explicit LatencyEstimate(std::uint32_t QuantilePerThousand);

  void record(framework::Duration Elapsed);
  /// Returns an upper bound of the quantile, or nothing while there are too
  /// few samples to tell.
  std::optional<framework::Duration> quantile() const;

private:
  void refresh();

  static constexpr std::size_t BucketCount = 256;

  std::uint32_t QuantilePerThousand_;
  std::array<std::uint32_t, BucketCount> Counts_{};
  std::uint32_t Total_ = 0;
  std::uint32_t SinceRefresh_ = 0;
  std::optional<framework::Duration> Quantile_;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_LATENCYESTIMATE_H
