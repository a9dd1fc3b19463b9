#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDSCHANGED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDSCHANGED_H

#include "fleet/types/storedrecord.h"
#include "framework/ids.h"

#include <vector>

namespace cranberryspool::decision {

/// A watch of the platform's metadata store ended, with or without changes.
struct RecordsChanged {
  std::vector<fleet::StoredRecord> Records_;
  framework::Revision AsOf_;
  /// Whether the store may have left out later changes: those after `AsOf_`
  /// must be read before the answer counts as complete.
  bool IsPart_ = false;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDSCHANGED_H
