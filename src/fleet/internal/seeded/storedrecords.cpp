#include "fleet/internal/seeded/storedrecords.h"

namespace cranberryspool::fleet {

std::vector<StoredRecord>
storedRecords(const std::vector<ReplicatedRecord> &Records) {
  std::vector<StoredRecord> Stored;
  for (const ReplicatedRecord &Each : Records)
    Stored.push_back({Each.Key_,
                      {Each.Value_.begin(), Each.Value_.end()},
                      Each.Revision_,
                      Each.IsDeleted_});
  return Stored;
}

} // namespace cranberryspool::fleet
