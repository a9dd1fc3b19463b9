#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_STOREDRECORDS_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_STOREDRECORDS_H

#include "fleet/types/replicatedrecord.h"
#include "fleet/types/storedrecord.h"

#include <vector>

namespace cranberryspool::fleet {

/// Returns records of a message as they were read.
std::vector<StoredRecord>
storedRecords(const std::vector<ReplicatedRecord> &Records);

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_STOREDRECORDS_H
