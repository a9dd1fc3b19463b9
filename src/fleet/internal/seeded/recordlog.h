#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_RECORDLOG_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_RECORDLOG_H

#include "fleet/types/recordupdate.h"
#include "fleet/types/storedrecord.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <deque>
#include <vector>

namespace cranberryspool::fleet {

/// The changes of the platform's store that a reader saw lately, to be told to
/// neighbours several times over, since messages get lost.
class RecordLog {
public:
  /// Takes the changes that led from one revision to another.
  void note(framework::Revision After, framework::Revision AsOf,
            const std::vector<StoredRecord> &Records, framework::Instant Now);
  /// Takes the changes that were not taken before, each part small enough for a
  /// message but for a single record that is larger.
  std::vector<RecordUpdate> takeNew();
  /// Forgets everything: the changes up to now are not known one by one.
  void clear() {
    Batches_.clear();
    New_ = 0;
  }

  static bool fitsInMessage(const RecordUpdate &Part);

  /// Fills in the latest changes without a gap, as far back as they fit in a
  /// datagram. Without any, the notice says only how far the reader is.
  void fill(RecordUpdate &Notice, framework::Instant Now);

private:
  struct Batch {
    framework::Revision FromRevision_;
    framework::Revision ToRevision_;
    framework::Instant SeenAt_;
    std::vector<ReplicatedRecord> Records_;
    std::size_t Bytes_ = 0;
  };

  /// How long a change is told again.
  static constexpr framework::Duration Memory = std::chrono::milliseconds(1500);
  /// Bytes of records in one message.
  static constexpr std::size_t MaxBytes = 1'100;

  void push(Batch Next);

  std::deque<Batch> Batches_;
  /// Of these, the latest that were not taken.
  std::size_t New_ = 0;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_RECORDLOG_H
