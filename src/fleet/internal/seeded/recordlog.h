#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_RECORDLOG_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_RECORDLOG_H

#include "fleet/types/recordupdate.h"
#include "fleet/types/storedrecord.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <deque>
#include <vector>

namespace cranberryspool::fleet {

/// The recent changes of the platform's metadata store, kept so that they can
/// be sent to other instances repeatedly: datagrams may be lost.
class RecordLog {
public:
  /// Appends the changes that lead from one revision to another, in the order
  /// of their revisions.
  void append(framework::Revision FromRevision, framework::Revision ToRevision,
              const std::vector<StoredRecord> &Records, framework::Instant Now);
  /// Returns the changes that were appended since the last call. Each update
  /// fits in a message, unless its only record is larger than that.
  std::vector<RecordUpdate> takeUnsent();
  /// Removes all changes, after the store was read as a whole and the single
  /// changes up to that revision are unknown.
  void clear() {
    Batches_.clear();
    UnsentCount_ = 0;
  }

  static bool fitsInMessage(const RecordUpdate &Update);

  /// Adds the recent changes that lead to `Update.ToRevision_` without a gap,
  /// as many as fit in a datagram, and sets `Update.FromRevision_` accordingly.
  /// Without such changes the update only states the revision.
  void addRecent(RecordUpdate &Update, framework::Instant Now);

private:
  struct Batch {
    framework::Revision FromRevision_;
    framework::Revision ToRevision_;
    framework::Instant ReceivedAt_;
    std::vector<ReplicatedRecord> Records_;
    std::size_t Bytes_ = 0;
  };

  /// How long a change is sent repeatedly.
  static constexpr framework::Duration RetransmitPeriod =
      std::chrono::milliseconds(1500);
  /// Keeps a message within one datagram.
  static constexpr std::size_t MaxRecordBytes = 1'100;

  void addBatch(Batch Next);

  std::deque<Batch> Batches_;
  /// The number of batches at the end that `takeUnsent` has not returned yet.
  std::size_t UnsentCount_ = 0;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_RECORDLOG_H
