#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDSCHANGED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDSCHANGED_H

#include "fleet/types/storedrecord.h"
#include "framework/ids.h"

#include <vector>

namespace cranberryspool::decision {

/// A watch of the platform's store ended, with changes or without.
struct RecordsChanged {
  std::vector<fleet::StoredRecord> Records_;
  framework::Revision AsOf_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDSCHANGED_H
