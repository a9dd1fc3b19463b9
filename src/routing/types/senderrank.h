#ifndef CRANBERRYSPOOL_ROUTING_TYPES_SENDERRANK_H
#define CRANBERRYSPOOL_ROUTING_TYPES_SENDERRANK_H

#include <cstdint>

namespace cranberryspool::routing {

/// The position of this instance in an order of all instances, which differs
/// from target to target.
struct SenderRank {
  /// The number of running instances before this one.
  std::uint32_t Rank_ = 0;
  /// The number of instances that may be running, including this one.
  std::uint32_t Instances_ = 1;

  friend bool operator==(const SenderRank &, const SenderRank &) = default;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_TYPES_SENDERRANK_H
