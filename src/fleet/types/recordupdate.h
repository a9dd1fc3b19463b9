#ifndef CRANBERRYSPOOL_FLEET_TYPES_RECORDUPDATE_H
#define CRANBERRYSPOOL_FLEET_TYPES_RECORDUPDATE_H

#include "fleet/types/replicatedrecord.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <vector>

namespace cranberryspool::fleet {

/// Sends changes of the platform's metadata store to other instances. A
/// receiver that has all changes up to `FromRevision_` has all changes up to
/// `ToRevision_` once it has applied the records.
struct RecordUpdate {
  /// The age in updates after which others of the same sender follow. What they
  /// lead to is not the present state of the store.
  static constexpr framework::Duration MoreFollows = std::chrono::hours(1);

  framework::InstanceName From_;
  framework::Incarnation Incarnation_;
  framework::Revision FromRevision_;
  framework::Revision ToRevision_;
  /// The time since the store reported that it is at `ToRevision_`, or
  /// `MoreFollows`.
  framework::Duration Age_{};
  /// The wall-clock time at which the store returned this to the instance that
  /// read it. Reveals delays in slow instances, which `Age_` does not include,
  /// as far as the clocks of the instances agree.
  framework::WallTime AnsweredAt_{};
  std::vector<ReplicatedRecord> Records_;

  friend bool operator==(const RecordUpdate &, const RecordUpdate &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_RECORDUPDATE_H
