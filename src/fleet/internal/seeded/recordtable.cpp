#include "fleet/internal/seeded/recordtable.h"

#include <utility>

namespace cranberryspool::fleet {

bool RecordTable::isNewer(const StoredRecord &Record) const {
  const auto Known = Records_.find(Record.Key_);
  return Known == Records_.end() || Known->second.Revision_ < Record.Revision_;
}

void RecordTable::put(StoredRecord Record) {
  StoredRecord &Entry = Records_[Record.Key_];
  const auto [First, Last] = KeysByRevision_.equal_range(Entry.Revision_);
  for (auto Each = First; Each != Last; ++Each)
    if (Each->second == Record.Key_) {
      KeysByRevision_.erase(Each);
      break;
    }
  KeysByRevision_.emplace(Record.Revision_, Record.Key_);
  DeletionCount_ -= Entry.IsDeleted_ ? 1 : 0;
  DeletionCount_ += Record.IsDeleted_ ? 1 : 0;
  Entry = std::move(Record);
  if (DeletionCount_ > MaxDeletions)
    dropOldestDeletion();
}

void RecordTable::dropOldestDeletion() {
  for (auto Each = KeysByRevision_.begin(); Each != KeysByRevision_.end();
       ++Each) {
    const auto Entry = Records_.find(Each->second);
    if (!Entry->second.IsDeleted_)
      continue;
    Records_.erase(Entry);
    KeysByRevision_.erase(Each);
    --DeletionCount_;
    return;
  }
}

std::vector<std::string>
RecordTable::findMissing(const std::set<std::string> &Present,
                         framework::Revision AsOf) const {
  std::vector<std::string> Missing;
  for (const auto &[Key, Record] : Records_)
    if (!Record.IsDeleted_ && Record.Revision_ <= AsOf &&
        !Present.contains(Key))
      Missing.push_back(Key);
  return Missing;
}

} // namespace cranberryspool::fleet
