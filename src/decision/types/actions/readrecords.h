#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_READRECORDS_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_READRECORDS_H

#include "framework/ids.h"
#include "framework/time.h"

#include <optional>

namespace cranberryspool::decision {

/// Read all records of the platform's metadata store, or watch it for changes
/// after a revision. Answered by exactly one of `RecordsRead`,
/// `RecordsChanged`, `RecordHistoryLost` and `RecordsUnavailable`. At most one
/// read of either kind is under way; the two do not wait for each other.
struct ReadRecords {
  std::optional<framework::Revision> After_;
  /// How long the store may delay its answer while nothing changes.
  framework::Duration Wait_{};
  /// The time limit of each response, besides `Wait_`.
  framework::Duration TimeLimit_{};
  /// Whether the store may return records that are a few seconds old, which is
  /// cheaper for the store.
  bool IsStaleAllowed_ = false;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_READRECORDS_H
