#ifndef CRANBERRYSPOOL_FLEET_TESTS_SIMULATEDTRAFFIC_H
#define CRANBERRYSPOOL_FLEET_TESTS_SIMULATEDTRAFFIC_H

#include <chrono>
#include <cstdint>

namespace cranberryspool::fleet {

/// The coordination overhead of one instance in a simulated fleet.
struct SimulatedTraffic {
  /// Bytes of datagrams, including UDP and IP headers.
  std::uint64_t SentBytes_ = 0;
  std::uint64_t SentMessages_ = 0;
  std::uint64_t ReceivedBytes_ = 0;
  std::uint64_t ReceivedMessages_ = 0;
  /// Bytes of sections fetched from peers and served to them.
  std::uint64_t BulkBytes_ = 0;
  std::uint64_t PlatformCalls_ = 0;
  std::uint64_t PlatformBytes_ = 0;
  /// Processor time of decisions, encoding and decoding.
  std::chrono::nanoseconds CpuTime_{};
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TESTS_SIMULATEDTRAFFIC_H
