#ifndef CRANBERRYSPOOL_QUOTAS_TYPES_QUOTACOUNTERS_H
#define CRANBERRYSPOOL_QUOTAS_TYPES_QUOTACOUNTERS_H

#include <cstdint>

namespace cranberryspool::quotas {

/// Events since the start of the process, for the metrics.
struct QuotaCounters {
  std::uint64_t Admitted_ = 0;
  std::uint64_t Refused_ = 0;
  /// Grants with credits that this instance sent to other instances.
  std::uint64_t GrantsGiven_ = 0;
  /// Requests that another instance did not answer in time.
  std::uint64_t RequestsUnanswered_ = 0;
  /// Messages with impossible values or from an earlier incarnation.
  std::uint64_t MessagesRejected_ = 0;
  /// Calls admitted from this instance's own reserve.
  std::uint64_t AdmittedFromReserve_ = 0;
};

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_TYPES_QUOTACOUNTERS_H
