#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_RECORDTABLE_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_RECORDTABLE_H

#include "fleet/types/recordupdate.h"
#include "fleet/types/storedrecord.h"
#include "framework/ids.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// The newest known record of each key of the platform's metadata store.
/// Deletions are kept as well, so that an older record of the key, which may
/// arrive later by another way, is recognised. Only the last change of a key is
/// kept, which is what another instance needs, however far it is behind.
class RecordTable {
public:
  /// Returns true when no change of the key at this revision or a later one is
  /// known.
  bool isNewer(const StoredRecord &Record) const;
  /// Returns true when this is the last known change of its key.
  bool isLast(const ReplicatedRecord &Record) const;
  /// Replaces the record of its key, which must be older.
  void put(StoredRecord Record);
  /// Returns the keys that have a record at revision `AsOf` or before and are
  /// not among `Present`: they were deleted until then.
  std::vector<std::string> findMissing(const std::set<std::string> &Present,
                                       framework::Revision AsOf) const;

  /// Returns the keys whose last known change is after a revision, up to
  /// another one.
  std::vector<std::string> keysChanged(framework::Revision After,
                                       framework::Revision UpTo) const;
  /// Returns the record or the deletion of a key, or null.
  const StoredRecord *find(const std::string &Key) const {
    const auto Found = Records_.find(Key);
    return Found == Records_.end() ? nullptr : &Found->second;
  }
  /// Returns the revision of the last known change.
  framework::Revision newestRevision() const;

  /// Returns a hash of the records that are not deleted, whichever way they
  /// were learned.
  std::uint64_t digest() const;

  /// Records that only the changes after this revision are known completely.
  void setCompleteSince(framework::Revision Revision) {
    CompleteSince_ = std::max(CompleteSince_, Revision);
  }
  /// Returns the revision after which all changes are known. Earlier deletions
  /// may be unknown.
  framework::Revision completeSince() const { return CompleteSince_; }

  /// Returns the changes that lead from revision `After`, which must not be
  /// before `completeSince`, to `To`. Each update fits in a message, unless its
  /// only record is larger than that. Changes that are not kept, since they
  /// have no effect, are left out.
  std::vector<RecordUpdate> updatesAfter(framework::Revision After,
                                         framework::Revision To) const;
  /// Returns the last of these changes, as many as are known completely and fit
  /// in one message. Without any the update only states the revision.
  RecordUpdate lastUpdate(framework::Revision After,
                          framework::Revision To) const;

  static bool fitsInMessage(const RecordUpdate &Update);
  static ReplicatedRecord replicate(const StoredRecord &Record);

private:
  /// Bounds the memory for deleted records.
  static constexpr std::size_t MaxDeletions = 2048;

  void dropOldestDeletion();
  /// Returns the changes after a revision, with those beyond the revision of
  /// the view: a later change of a key replaces the one that a receiver needs.
  std::vector<const StoredRecord *>
  recordsAfter(framework::Revision After) const;
  /// Returns the revision of the last kept change at `Limit` or before it.
  framework::Revision lastChangeUpTo(framework::Revision Limit) const;

  std::map<std::string, StoredRecord> Records_;
  /// The keys of all records by revision.
  std::multimap<framework::Revision, std::string> KeysByRevision_;
  std::size_t DeletionCount_ = 0;
  framework::Revision CompleteSince_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_RECORDTABLE_H
