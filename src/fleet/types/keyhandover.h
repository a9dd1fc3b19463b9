#ifndef CRANBERRYSPOOL_FLEET_TYPES_KEYHANDOVER_H
#define CRANBERRYSPOOL_FLEET_TYPES_KEYHANDOVER_H

#include "fleet/types/keyrecord.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// One part of the previous owner's records of the keys that the receiver now
/// owns after a change of the members. The sender no longer decides on these
/// keys.
struct KeyHandover {
  framework::InstanceName From_;
  framework::Incarnation Incarnation_;
  std::string Address_;
  /// The incarnation of the intended receiver.
  framework::Incarnation ToIncarnation_;
  /// The members after the change. `ListRevision_` is the revision of the
  /// sender's list.
  framework::Digest MembersDigest_;
  framework::Revision ListRevision_;
  std::uint32_t Part_ = 0;
  std::uint32_t Parts_ = 1;
  /// The sender has records of all keys created after this time. Absent when
  /// the sender was not permitted to decide.
  std::optional<framework::WallTime> KnownSince_;
  std::vector<KeyRecord> Records_;

  friend bool operator==(const KeyHandover &, const KeyHandover &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_KEYHANDOVER_H
