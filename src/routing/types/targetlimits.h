#ifndef CRANBERRYSPOOL_ROUTING_TYPES_TARGETLIMITS_H
#define CRANBERRYSPOOL_ROUTING_TYPES_TARGETLIMITS_H

#include "framework/time.h"

#include <cstdint>
#include <optional>

namespace cranberryspool::routing {

/// This instance's share of the limits that apply at a target to all instances
/// together.
struct TargetLimits {
  /// The maximum number of requests of this instance in flight at the target
  /// while the target is cold; 0 when another instance warms it up.
  std::uint32_t MaxColdInFlight_ = 0;
  std::uint32_t MaxConnections_ = 1;
  framework::Duration WarmupDuration_{};
  /// The distance, from 0 to 0.5, between the target and this instance on the
  /// ring described at `ringDistance`.
  double RingDistance_ = 0;
  /// True when the target is one of the few of its service and availability
  /// zone that this instance prefers, so that its connections are reused.
  bool IsPreferred_ = false;
  /// The number of the target's slots that are this instance's share. While it
  /// uses fewer of them, the target is not full whatever the reports say.
  std::uint32_t SlotShare_ = 0;
  /// When set, the maximum rate of this instance's requests to the target while
  /// the target is cold. Replaces `MaxColdInFlight_`.
  std::optional<double> ColdRequestsPerSecond_ = std::nullopt;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_TYPES_TARGETLIMITS_H
