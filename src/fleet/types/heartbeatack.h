#ifndef CRANBERRYSPOOL_FLEET_TYPES_HEARTBEATACK_H
#define CRANBERRYSPOOL_FLEET_TYPES_HEARTBEATACK_H

#include "fleet/types/peerview.h"
#include "fleet/types/restartnotice.h"
#include "fleet/types/warmtargets.h"
#include "framework/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// Acknowledges a `Heartbeat`. The receiver counts the ages in the view from
/// when it sent the heartbeat, so that a delayed acknowledgement never makes
/// the view appear fresher than it is.
struct HeartbeatAck {
  framework::InstanceName From_;
  framework::Incarnation Incarnation_;
  std::string Address_;
  /// The incarnation and sequence of the acknowledged heartbeat.
  framework::Incarnation EchoIncarnation_;
  std::uint64_t EchoSequence_ = 0;
  /// The newest incarnation of the heartbeat's sender that is known to this
  /// instance.
  framework::Incarnation NewestIncarnation_;
  PeerView View_;
  std::vector<RestartNotice> RestartNotices_;
  /// Present when the heartbeat requested it and the information is available.
  std::optional<WarmTargets> WarmTargets_;

  friend bool operator==(const HeartbeatAck &, const HeartbeatAck &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_HEARTBEATACK_H
