#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_VIEWCHECK_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_VIEWCHECK_H

#include "fleet/internal/seeded/pendingread.h"
#include "fleet/internal/seeded/viewevidence.h"
#include "fleet/types/readkind.h"
#include "framework/time.h"

#include <chrono>
#include <cstdint>

namespace cranberryspool::fleet {

/// Decides when the view of this instance gives way to what its own store
/// states, because it is of another history of the store: a store was exchanged
/// for another one, or instances of another fleet have sent their records.
/// Revisions of one history only increase, so that a read never returns less
/// than was known when it began. A single answer that does may be stale or
/// late. The view is replaced once several reads in a row contradict it, each
/// of which began after the one before was answered.
class ViewCheck {
public:
  /// Requires a read of all records. What other instances state is ignored for
  /// a while after the own store has confirmed the view.
  void requireRead(ViewEvidence Evidence, framework::Instant Now);

  /// Handles an answer that agrees with the view.
  void recordAgreement(const PendingRead &Read, ReadKind Kind,
                       framework::Instant Now);
  /// Handles an answer that contradicts the view: by the revision that it
  /// states, or by a record. Returns true when the last read of all records is
  /// to replace the view.
  bool recordContradiction(const PendingRead &Read, ReadKind Kind,
                           bool IsByRecord, framework::Instant Now);
  /// Records that the view was replaced. For a while only the own store is
  /// believed, since other instances may not have replaced their views yet; for
  /// longer when this has happened before, since some may never do so.
  void recordReplacement(framework::Instant Now);

  /// Returns true when a read of all records is to be made.
  bool isFullReadDue(framework::Instant Now) const {
    const bool IsNeeded =
        IsReadRequired_ || (isInDoubt() && (IsByRecord_ || !HasAllRecords_));
    return IsNeeded && Now >= NextReadAt_;
  }
  /// Returns true when the changes after the last read of all records are to be
  /// read: the revision that this states settles the doubt.
  bool isReadOfChangesDue(framework::Instant Now) const {
    return isInDoubt() && !IsByRecord_ && HasAllRecords_ && Now >= NextReadAt_;
  }
  /// Handles the start of a read of all records.
  void recordStart(framework::Instant Now);

  /// Returns true while answers contradict the view that have not been
  /// confirmed.
  bool isInDoubt() const { return Contradictions_ > 0; }
  /// Returns true while only the own store is believed.
  bool isSettling(framework::Instant Now) const { return Now < SettledAt_; }
  /// Returns the time since the first of the answers that contradict the view.
  framework::Duration doubtTime(framework::Instant Now) const {
    return Now - FirstAt_;
  }

  /// The pause between the reads that settle a doubt.
  static constexpr framework::Duration ReadInterval =
      std::chrono::milliseconds(100);

private:
  void endDoubt();

  static constexpr std::uint32_t ConfirmingContradictions = 3;
  static constexpr framework::Duration MinConfirmationTime =
      std::chrono::milliseconds(200);
  /// Contradictions further apart than this do not confirm each other.
  static constexpr framework::Duration MaxDoubtTime = std::chrono::seconds(5);
  static constexpr framework::Duration SettlingTime = std::chrono::seconds(1);
  static constexpr framework::Duration RepeatedSettlingTime =
      std::chrono::seconds(60);
  /// How long evidence of each kind is ignored.
  static constexpr framework::Duration RevisionsIgnoredPeriod =
      std::chrono::seconds(10);
  static constexpr framework::Duration RecordsIgnoredPeriod =
      std::chrono::milliseconds(500);

  bool IsReadRequired_ = false;
  framework::Instant RequiredAt_{};
  framework::Instant NextReadAt_{};
  /// When the own store last confirmed the view in a read that was required.
  framework::Instant ConfirmedAt_{};
  bool WasConfirmed_ = false;
  std::uint32_t Contradictions_ = 0;
  /// Whether a record contradicts the view, which only another read of all
  /// records can settle.
  bool IsByRecord_ = false;
  /// Whether one of the answers that contradict the view is of all records.
  bool HasAllRecords_ = false;
  framework::Instant FirstAt_{};
  framework::Instant LastAt_{};
  /// Answers to reads that began earlier say nothing about the present view.
  framework::Instant ReplacedAt_{};
  framework::Instant SettledAt_{};
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_VIEWCHECK_H
