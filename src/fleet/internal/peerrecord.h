#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_PEERRECORD_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_PEERRECORD_H

#include "fleet/types/peerview.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cranberryspool::fleet {

/// The state of one peer as seen by this instance.
struct PeerRecord {
  std::string Address_;
  framework::Incarnation Incarnation_;
  /// The highest heartbeat sequence received in this incarnation.
  std::uint64_t Sequence_ = 0;
  /// When the newest heartbeat acknowledged by the peer was sent.
  std::optional<framework::Instant> AckedHeartbeatSentAt_;
  /// The view in that acknowledgement.
  PeerView View_;
  bool IsReachable_ = false;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_PEERRECORD_H
