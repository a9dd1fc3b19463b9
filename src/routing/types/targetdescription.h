#ifndef CRANBERRYSPOOL_ROUTING_TYPES_TARGETDESCRIPTION_H
#define CRANBERRYSPOOL_ROUTING_TYPES_TARGETDESCRIPTION_H

#include "framework/ids.h"

#include <cstdint>

namespace cranberryspool::routing {

/// A target as described by the platform's target list and the configuration
/// document.
struct TargetDescription {
  framework::TargetId Target_;
  framework::ServiceId Service_;
  framework::ZoneId Zone_;
  std::uint32_t Slots_ = 1;
  /// True when the list marks the target as leaving, or when its availability
  /// zone is out of service.
  bool IsLeaving_ = false;
  /// Identifies the current start of the target's process, so that it changes
  /// on a restart; 0 when the list does not provide it.
  framework::Incarnation Start_{};
  /// How long the target stays cold. When the list provides it, a cold start is
  /// never inferred from connection resets or slow responses.
  std::optional<framework::Duration> WarmupLeft_ = std::nullopt;
  /// True when the list can't tell whether the target is still there. It
  /// receives attempts that no other target of its service can take.
  bool IsUnconfirmed_ = false;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_TYPES_TARGETDESCRIPTION_H
