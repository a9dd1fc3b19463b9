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

/// A part of what the home before knows of the keys that moved to the receiver
/// with a change of the members. The sender has stopped deciding on them.
struct KeyHandover {
  framework::InstanceName From_;
  framework::Incarnation Incarnation_;
  std::string Address_;
  /// The incarnation that the records are meant for.
  framework::Incarnation ToIncarnation_;
  /// The members after the change, and the revision of the sender's list.
  framework::Digest MembersDigest_;
  framework::Revision ListRevision_;
  std::uint32_t Part_ = 0;
  std::uint32_t Parts_ = 1;
  /// Keys with an earlier time may be unknown to the sender. Absent when the
  /// sender was not entitled to decide.
  std::optional<framework::WallTime> Floor_;
  std::vector<KeyRecord> Records_;

  friend bool operator==(const KeyHandover &, const KeyHandover &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_KEYHANDOVER_H
