#ifndef CRANBERRYSPOOL_FLEET_TYPES_RECORDUPDATE_H
#define CRANBERRYSPOOL_FLEET_TYPES_RECORDUPDATE_H

#include "fleet/types/replicatedrecord.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <vector>

namespace cranberryspool::fleet {

/// What a reader of the platform's store has seen there, told to its
/// neighbours. Who has all up to `FromRevision_` has all up to `ToRevision_` once it has
/// taken the records.
struct RecordUpdate {
  framework::InstanceName From_;
  framework::Incarnation Incarnation_;
  framework::Revision FromRevision_;
  framework::Revision ToRevision_;
  /// Since the store said so.
  framework::Duration Age_{};
  /// The time of day when the store said so to the instance that asked it.
  /// Shows how long the word was under way at slow instances, as far as clocks
  /// agree.
  framework::WallTime AnsweredAt_{};
  std::vector<ReplicatedRecord> Records_;

  friend bool operator==(const RecordUpdate &, const RecordUpdate &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_RECORDUPDATE_H
