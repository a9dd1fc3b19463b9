#ifndef CRANBERRYSPOOL_FLEET_TYPES_HEARTBEAT_H
#define CRANBERRYSPOOL_FLEET_TYPES_HEARTBEAT_H

#include "fleet/types/peerview.h"
#include "fleet/types/restartnotice.h"
#include "framework/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// A liveness message that requests a `HeartbeatAck`. Heartbeats are ordered by
/// (incarnation, sequence), like the pairs (legislature, decree) in "High-level
/// design: Replication subsystem"; a newer incarnation makes the older one
/// stale.
struct Heartbeat {
  framework::InstanceName From_;
  framework::Incarnation Incarnation_;
  std::uint64_t Sequence_ = 0;
  /// The address for the acknowledgement.
  std::string Address_;
  PeerView View_;
  std::vector<RestartNotice> RestartNotices_;
  /// True when the sender does not yet know which targets are warm.
  bool IsWarmStateRequested_ = false;

  friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_HEARTBEAT_H
