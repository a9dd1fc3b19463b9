#ifndef CRANBERRYSPOOL_FLEET_TYPES_HEARTBEAT_H
#define CRANBERRYSPOOL_FLEET_TYPES_HEARTBEAT_H

#include "fleet/types/coldnotice.h"
#include "fleet/types/peerview.h"
#include "framework/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// A sign of life that asks for a `HeartbeatAck`. Ordered by (incarnation,
/// sequence), as the pairs (legislature, decree) in "High-level design:
/// Replication subsystem"; a newer incarnation makes the older one stale.
struct Heartbeat {
  framework::InstanceName From_;
  framework::Incarnation Incarnation_;
  std::uint64_t Sequence_ = 0;
  /// Where the acknowledgement goes.
  std::string Address_;
  PeerView View_;
  std::vector<ColdNotice> Cold_;
  /// True when the sender has yet to learn which targets are warm.
  bool IsWarmthWanted_ = false;

  friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_HEARTBEAT_H
