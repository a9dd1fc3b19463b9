#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDSREAD_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDSREAD_H

#include "fleet/types/storedrecord.h"
#include "framework/ids.h"

#include <vector>

namespace cranberryspool::decision {

/// All records of the platform's metadata store.
struct RecordsRead {
  std::vector<fleet::StoredRecord> Records_;
  framework::Revision AsOf_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDSREAD_H
