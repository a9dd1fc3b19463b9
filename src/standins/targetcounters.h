#ifndef CRANBERRYSPOOL_STANDINS_TARGETCOUNTERS_H
#define CRANBERRYSPOOL_STANDINS_TARGETCOUNTERS_H

#include <cstdint>

namespace cranberryspool::standins {

/// What a target counted since it was made.
struct TargetCounters {
  /// Requests that instances sent.
  std::uint64_t Requests_ = 0;
  std::uint64_t Runs_ = 0;
  std::uint64_t Shed_ = 0;
  std::uint64_t Cancelled_ = 0;
  std::uint64_t Expired_ = 0;
  std::uint64_t Probes_ = 0;
  /// Requests that arrived above what it bears while cold.
  std::uint64_t OverCold_ = 0;
  std::uint32_t MaxColdInFlight_ = 0;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_TARGETCOUNTERS_H
