#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_RECORDTABLE_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_RECORDTABLE_H

#include "fleet/types/storedrecord.h"
#include "framework/ids.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// The newest known record of each key of the platform's metadata store.
/// Deletions are kept as well, so that an older record of the key, which may
/// arrive later by another way, is recognised.
class RecordTable {
public:
  /// Returns true when no change of the key at this revision or a later one is
  /// known.
  bool isNewer(const StoredRecord &Record) const;
  /// Replaces the record of its key, which must be older.
  void put(StoredRecord Record);
  /// Returns the keys that have a record at revision `AsOf` or before and are
  /// not among `Present`: they were deleted until then.
  std::vector<std::string> findMissing(const std::set<std::string> &Present,
                                       framework::Revision AsOf) const;

private:
  /// Bounds the memory for deleted records.
  static constexpr std::size_t MaxDeletions = 2048;

  void dropOldestDeletion();

  std::map<std::string, StoredRecord> Records_;
  /// The keys of all records by revision.
  std::multimap<framework::Revision, std::string> KeysByRevision_;
  std::size_t DeletionCount_ = 0;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_RECORDTABLE_H
