#ifndef CRANBERRYSPOOL_CALLS_LATENCYESTIMATE_H
#define CRANBERRYSPOOL_CALLS_LATENCYESTIMATE_H

#include "framework/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace cranberryspool::calls {

/// Estimates a quantile of recent latencies from a histogram with logarithmic
/// buckets. When the number of samples reaches its maximum all counts are
/// halved, so that old samples lose weight.
class LatencyEstimate {
public:
  /// `QuantilePerThousand` is for example 950 for the 95th percentile.
  explicit LatencyEstimate(std::uint32_t QuantilePerThousand);

  void record(framework::Duration Elapsed);
  /// Returns an upper bound of the quantile, or nothing while there are too few
  /// samples.
  std::optional<framework::Duration> quantile() const;

private:
  void updateQuantile();

  static constexpr std::size_t BucketCount = 256;

  std::uint32_t QuantilePerThousand_;
  std::array<std::uint32_t, BucketCount> Counts_{};
  std::uint32_t Total_ = 0;
  std::uint32_t SamplesSinceUpdate_ = 0;
  std::optional<framework::Duration> Quantile_;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_LATENCYESTIMATE_H
