#ifndef CRANBERRYSPOOL_ROUTING_TYPES_TARGETCHANGE_H
#define CRANBERRYSPOOL_ROUTING_TYPES_TARGETCHANGE_H

#include "framework/ids.h"

namespace cranberryspool::routing {

/// What happened to a target.
enum class TargetChangeKind {
  /// It failed too often and gets no work for a while.
  Ejected,
  /// It may take work again after an ejection.
  Restored,
  TurnedCold,
  TurnedWarm,
  /// It reported that it is draining.
  Draining,
};

/// A change of a target's state, for logs and for peers.
struct TargetChange {
  framework::TargetId Target_;
  TargetChangeKind Kind_ = TargetChangeKind::Restored;

  friend bool operator==(const TargetChange &, const TargetChange &) = default;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_TYPES_TARGETCHANGE_H
