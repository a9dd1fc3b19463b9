#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_REVISIONACCOUNT_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_REVISIONACCOUNT_H

#include "fleet/types/storedrecord.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace cranberryspool::fleet {

/// Checks that answers to reads of changes account for every revision that they
/// claim to lead to. The store counts its revision up by one with each change,
/// so that an answer of all keys without a change for some revision has left a
/// change out, and no later read of changes returns it. A read of all records
/// then shows what the store holds.
class RevisionAccount {
public:
  /// Returns the last revision up to which the changes account for each one
  /// after `From`.
  static framework::Revision
  lastAccounted(const std::vector<StoredRecord> &Changes,
                framework::Revision From, framework::Revision AsOf);

  /// Records that an answer led to a revision with changes that account for
  /// those up to `Accounted` only.
  void recordGap(const std::vector<StoredRecord> &Changes,
                 framework::Revision Accounted, framework::Revision AsOf);
  /// Returns true while a read of all records is needed.
  bool isReadNeeded() const { return Needed_.has_value(); }
  /// Returns the revision up to which nothing was left out.
  framework::Revision accounted() const { return Accounted_; }
  /// Returns true for a revision of which a change was left out.
  bool isMissing(framework::Revision Each) const;
  /// Records that a read of all records has reached a revision. `HasFound` says
  /// whether a change is known by now, from this instance's reads or from other
  /// instances, that the answer had left out.
  void recordFullRead(framework::Revision AsOf, bool HasFound,
                      framework::Instant Now);
  /// Records that the view has reached a revision by other instances' updates.
  void recordProgress(framework::Revision Reached);
  /// Returns true while the store seems to count revisions without changes, so
  /// that its answers are taken as they are.
  bool isStoreTrusted(framework::Instant Now) const {
    return Now < TrustedUntil_;
  }

private:
  std::optional<framework::Revision> Needed_;
  /// Up to this revision nothing was left out.
  framework::Revision Accounted_;
  /// The revisions of the changes that were returned.
  std::set<framework::Revision> Returned_;
  /// The number of reads in a row that have found nothing.
  std::uint32_t FruitlessReads_ = 0;
  framework::Instant TrustedUntil_{};
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_REVISIONACCOUNT_H
