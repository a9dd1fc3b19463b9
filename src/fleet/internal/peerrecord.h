#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_PEERRECORD_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_PEERRECORD_H

#include "fleet/types/peerview.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cranberryspool::fleet {

/// What is known of one peer.
struct PeerRecord {
  std::string Address_;
  framework::Incarnation Incarnation_;
  /// The highest heartbeat sequence seen in this incarnation.
  std::uint64_t Sequence_ = 0;
  /// When the latest heartbeat was sent that the peer has acknowledged.
  std::optional<framework::Instant> AskedAt_;
  /// The view in that acknowledgement.
  PeerView View_;
  bool IsHeard_ = false;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_PEERRECORD_H
