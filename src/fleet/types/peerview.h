#ifndef CRANBERRYSPOOL_FLEET_TYPES_PEERVIEW_H
#define CRANBERRYSPOOL_FLEET_TYPES_PEERVIEW_H

#include "framework/ids.h"
#include "framework/time.h"

#include <optional>

namespace cranberryspool::fleet {

/// What a peer has accepted of the published state, and how long ago the
/// platform confirmed it. Ages count from before the question was asked, so
/// that they are never too small.
struct PeerView {
  framework::Revision DocumentRevision_;
  /// Absent when never confirmed.
  std::optional<framework::Duration> DocumentAge_;
  framework::Revision ListRevision_;
  std::optional<framework::Duration> ListAge_;
  /// The hash of the list of instances of this system.
  framework::Digest MembersDigest_;

  friend bool operator==(const PeerView &, const PeerView &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_PEERVIEW_H
