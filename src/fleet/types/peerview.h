#ifndef CRANBERRYSPOOL_FLEET_TYPES_PEERVIEW_H
#define CRANBERRYSPOOL_FLEET_TYPES_PEERVIEW_H

#include "framework/ids.h"
#include "framework/time.h"

#include <optional>

namespace cranberryspool::fleet {

/// The published state that a peer has accepted, and how long ago the platform
/// confirmed it. Ages are counted from the start of the read that brought the
/// confirmation, so that they are never too small.
struct PeerView {
  framework::Revision DocumentRevision_;
  /// Absent when the document was never confirmed.
  std::optional<framework::Duration> DocumentAge_;
  framework::Revision ListRevision_;
  std::optional<framework::Duration> ListAge_;
  /// The hash of the list of the load balancer's own instances.
  framework::Digest MembersDigest_;

  friend bool operator==(const PeerView &, const PeerView &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_PEERVIEW_H
