#ifndef CRANBERRYSPOOL_ROUTING_TYPES_TARGETLIMITS_H
#define CRANBERRYSPOOL_ROUTING_TYPES_TARGETLIMITS_H

#include "framework/time.h"

#include <cstdint>
#include <optional>

namespace cranberryspool::routing {

/// This instance's share of the bounds that hold at a target for the sum of
/// all instances.
struct TargetLimits {
  /// Requests in flight that this instance may have at the target while it is
  /// cold; 0 when another instance is responsible for it.
  std::uint32_t ColdInFlight_ = 0;
  std::uint32_t MaxConnections_ = 1;
  framework::Duration WarmupDuration_{};
  /// How far the target is from this instance on the ring on which all
  /// instances and the targets of a service are spread evenly, from 0 to 0.5.
  double RingDistance_ = 0;
  /// When set, requests a second that this instance may send to the target
  /// while it is cold, in place of `ColdInFlight_`.
  std::optional<double> ColdRequestsPerSecond_ = std::nullopt;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_TYPES_TARGETLIMITS_H
