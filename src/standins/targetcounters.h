#ifndef CRANBERRYSPOOL_STANDINS_TARGETCOUNTERS_H
#define CRANBERRYSPOOL_STANDINS_TARGETCOUNTERS_H

#include <cstdint>

namespace cranberryspool::standins {

/// The counters of a target since its construction.
struct TargetCounters {
  /// Requests received from instances.
  std::uint64_t Requests_ = 0;
  /// Requests that started to run, direct calls included.
  std::uint64_t Runs_ = 0;
  /// Requests rejected because the queue was full.
  std::uint64_t Shed_ = 0;
  /// Queued requests whose client closed the connection.
  std::uint64_t Cancelled_ = 0;
  /// Requests whose timeout passed in the queue.
  std::uint64_t Expired_ = 0;
  /// Load probes received.
  std::uint64_t Probes_ = 0;
  /// Requests, probes included, that carried the key of a caller.
  std::uint64_t KeysReceived_ = 0;
  /// Requests from instances that exceeded the in-flight limit of the cold
  /// target on arrival.
  std::uint64_t ColdOverloads_ = 0;
  /// The maximum number of requests in flight from instances while cold.
  std::uint32_t MaxColdInFlight_ = 0;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_TARGETCOUNTERS_H
