#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_FOUNDRECORDS_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_FOUNDRECORDS_H

#include "fleet/internal/seeded/recordtable.h"
#include "fleet/types/recordupdate.h"
#include "fleet/types/storedrecord.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <vector>

namespace cranberryspool::fleet {

/// Who is sent changes that were found.
struct FoundRecipients {
  bool OwnGroup_ = false;
  bool OtherGroups_ = false;
  bool OtherZones_ = false;
};

/// Changes that answers to reads of changes had left out, while they are sent
/// repeatedly to other instances, which may never read them.
class FoundRecords {
public:
  /// Adds changes, each of which replaces an earlier one of its key.
  void add(const std::vector<StoredRecord> &Records,
           const FoundRecipients &Recipients, framework::Instant Now);
  const FoundRecipients &recipients() const { return Recipients_; }
  /// Returns true when the changes are to be sent.
  bool isDue(framework::Instant Now) const {
    return Now < SentUntil_ && Now >= NextSendAt_;
  }
  /// Returns the changes that are still the last ones among the records of a
  /// view at a revision, and defers the next time. The receivers apply them,
  /// and their revisions stay: when a record was deleted is not known.
  std::vector<RecordUpdate> takeUpdates(const RecordTable &Known,
                                        framework::Revision ViewRevision,
                                        framework::Instant Now);

private:
  static constexpr framework::Duration SendInterval =
      std::chrono::milliseconds(200);
  /// How long changes are sent.
  static constexpr framework::Duration SendPeriod =
      std::chrono::milliseconds(1'000);

  RecordTable Records_;
  FoundRecipients Recipients_;
  framework::Instant SentUntil_{};
  framework::Instant NextSendAt_{};
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_FOUNDRECORDS_H
