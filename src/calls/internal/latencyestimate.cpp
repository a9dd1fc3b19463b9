#include "calls/latencyestimate.h"

#include <algorithm>
#include <bit>

namespace cranberryspool::calls {

namespace {

/// The binary logarithm of the number of buckets per doubling of the latency.
constexpr std::uint32_t SubBucketBits = 3;
constexpr std::uint32_t MinSamples = 50;
constexpr std::uint32_t MaxSamples = 2000;
constexpr std::uint32_t UpdateInterval = 16;
constexpr std::uint32_t PerThousand = 1000;

std::size_t bucketOf(std::uint64_t Micros) {
  const std::uint64_t SubBuckets = 1ULL << SubBucketBits;
  if (Micros < SubBuckets)
    return Micros;
  const auto Octave =
      static_cast<std::uint32_t>(std::bit_width(Micros)) - 1 - SubBucketBits;
  return (static_cast<std::size_t>(Octave) << SubBucketBits) +
         (Micros >> Octave);
}

framework::Duration upperBoundOf(std::size_t Bucket) {
  const std::size_t SubBuckets = 1ULL << SubBucketBits;
  if (Bucket < SubBuckets)
    return framework::Duration(static_cast<std::int64_t>(Bucket + 1));
  const std::size_t Octave = (Bucket >> SubBucketBits) - 1;
  const std::size_t Mantissa = Bucket - (Octave << SubBucketBits);
  return framework::Duration(
      static_cast<std::int64_t>((Mantissa + 1) << Octave));
}

} // namespace

LatencyEstimate::LatencyEstimate(std::uint32_t QuantilePerThousand)
    : QuantilePerThousand_(QuantilePerThousand) {}

void LatencyEstimate::record(framework::Duration Elapsed) {
  const auto Micros =
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, Elapsed.count()));
  ++Counts_[std::min(bucketOf(Micros), BucketCount - 1)];
  ++Total_;
  if (++SamplesSinceUpdate_ >= UpdateInterval)
    updateQuantile();
}

std::optional<framework::Duration> LatencyEstimate::quantile() const {
  return Quantile_;
}

void LatencyEstimate::updateQuantile() {
  SamplesSinceUpdate_ = 0;
  if (Total_ < MinSamples)
    return;
  const std::uint64_t Rank =
      static_cast<std::uint64_t>(Total_) * QuantilePerThousand_ / PerThousand;
  std::uint64_t Cumulative = 0;
  for (std::size_t Bucket = 0; Bucket < BucketCount; ++Bucket) {
    Cumulative += Counts_[Bucket];
    if (Cumulative <= Rank)
      continue;
    Quantile_ = upperBoundOf(Bucket);
    break;
  }
  if (Total_ < MaxSamples)
    return;
  Total_ = 0;
  for (std::uint32_t &Count : Counts_) {
    Count /= 2;
    Total_ += Count;
  }
}

} // namespace cranberryspool::calls
