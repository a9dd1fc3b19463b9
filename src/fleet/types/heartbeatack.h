#ifndef CRANBERRYSPOOL_FLEET_TYPES_HEARTBEATACK_H
#define CRANBERRYSPOOL_FLEET_TYPES_HEARTBEATACK_H

#include "fleet/types/coldnotice.h"
#include "fleet/types/peerview.h"
#include "fleet/types/warmtargets.h"
#include "framework/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// Answers a `Heartbeat`. The asker counts the ages of the view from when it
/// sent the heartbeat, so that a late answer proves nothing too much.
struct HeartbeatAck {
  framework::InstanceName From_;
  framework::Incarnation Incarnation_;
  std::string Address_;
  /// The incarnation and sequence of the heartbeat.
  framework::Incarnation EchoIncarnation_;
  std::uint64_t EchoSequence_ = 0;
  /// The newest incarnation of the asker that is known here.
  framework::Incarnation NewestIncarnation_;
  PeerView View_;
  std::vector<ColdNotice> Cold_;
  /// Present when the asker wanted it.
  std::optional<WarmTargets> Warm_;

  friend bool operator==(const HeartbeatAck &, const HeartbeatAck &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_HEARTBEATACK_H
