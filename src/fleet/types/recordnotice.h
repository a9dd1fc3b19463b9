#ifndef CRANBERRYSPOOL_FLEET_TYPES_RECORDNOTICE_H
#define CRANBERRYSPOOL_FLEET_TYPES_RECORDNOTICE_H

#include "fleet/types/sharedrecord.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <vector>

namespace cranberryspool::fleet {

/// What a reader of the platform's store has seen there, told to its
/// neighbours. Who has all up to `After_` has all up to `AsOf_` once it has
/// taken the records.
struct RecordNotice {
  framework::InstanceName From_;
  framework::Incarnation Incarnation_;
  framework::Revision After_;
  framework::Revision AsOf_;
  /// Since the store said so.
  framework::Duration Age_{};
  /// The time of day when the store said so to the instance that asked it.
  /// Shows how long the word was under way at slow instances, as far as clocks
  /// agree.
  framework::WallTime AnsweredAt_{};
  std::vector<SharedRecord> Records_;

  friend bool operator==(const RecordNotice &, const RecordNotice &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_RECORDNOTICE_H
