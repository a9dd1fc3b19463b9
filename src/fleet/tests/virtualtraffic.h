#ifndef CRANBERRYSPOOL_FLEET_TESTS_VIRTUALTRAFFIC_H
#define CRANBERRYSPOOL_FLEET_TESTS_VIRTUALTRAFFIC_H

#include <chrono>
#include <cstdint>

namespace cranberryspool::fleet {

/// What control cost one instance of a virtual fleet.
struct VirtualTraffic {
  /// Datagrams, with their UDP and IP headers.
  std::uint64_t SentBytes_ = 0;
  std::uint64_t SentMessages_ = 0;
  std::uint64_t ReceivedBytes_ = 0;
  std::uint64_t ReceivedMessages_ = 0;
  /// Sections fetched from peers and served to them.
  std::uint64_t BulkBytes_ = 0;
  std::uint64_t PlatformCalls_ = 0;
  std::uint64_t PlatformBytes_ = 0;
  /// Processor time of decisions, encoding and decoding.
  std::chrono::nanoseconds CpuTime_{};
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TESTS_VIRTUALTRAFFIC_H
