#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_READRECORDS_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_READRECORDS_H

#include "framework/ids.h"
#include "framework/time.h"

#include <optional>

namespace cranberryspool::decision {

/// Read all entries of the platform's store, or watch it for changes after a
/// revision. Answered by exactly one of `RecordsRead`, `RecordsChanged`,
/// `RecordHistoryLost` and `RecordsUnavailable`.
struct ReadRecords {
  std::optional<framework::Revision> After_;
  /// How long the store may hold the answer back while nothing changes.
  framework::Duration Wait_{};
  /// The entries may be as they were seconds ago, which costs the store less.
  bool IsStaleAllowed_ = false;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_READRECORDS_H
