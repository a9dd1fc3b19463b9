#ifndef CRANBERRYSPOOL_ROUTING_TYPES_TARGETCHANGE_H
#define CRANBERRYSPOOL_ROUTING_TYPES_TARGETCHANGE_H

#include "framework/ids.h"

namespace cranberryspool::routing {

/// The kind of a change of a target's state.
enum class TargetChangeKind {
  /// The target failed too often and is not selected for some time.
  Ejected,
  /// The ejection is over; the target may be selected again.
  Restored,
  TurnedCold,
  TurnedWarm,
  /// The target reported that it is draining.
  Draining,
  /// The target started to limit its requests, or changed the limit.
  Limited,
  LimitLifted,
};

/// A change of a target's state, for the log and for other instances.
struct TargetChange {
  framework::TargetId Target_;
  TargetChangeKind Kind_ = TargetChangeKind::Restored;

  friend bool operator==(const TargetChange &, const TargetChange &) = default;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_TYPES_TARGETCHANGE_H
