#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_OUTAGEDETECTOR_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_OUTAGEDETECTOR_H

#include "framework/time.h"

#include <optional>

namespace cranberryspool::fleet {

/// Tells whether the platform's metadata store may have been away for so long
/// that it has lost records of running targets. What counts is when the store
/// answered anybody, and whether reads failed: an answer that is only late, or
/// that only this instance lacks, is no outage. Another instance that was
/// answered all the while rules an outage out, also after the fact.
class OutageDetector {
public:
  /// Records may be lost after `LossyOutage` without an answer; they are
  /// written again within `RecoveryGrace` of the end of the outage.
  OutageDetector(framework::Duration LossyOutage,
                 framework::Duration RecoveryGrace)
      : LossyOutage_(LossyOutage), RecoveryGrace_(RecoveryGrace) {}

  /// The store has answered a read of this instance that began at `StartedAt`.
  void recordAnswer(framework::Instant StartedAt, framework::Instant Now);
  /// The store has answered another instance at `At`, which has known it to be
  /// available since `AvailableSince`.
  void recordAnswerToOther(framework::Instant At,
                           framework::Instant AvailableSince);
  /// A read of this instance was refused, or has had no answer in time.
  void recordFailure() { HasFailed_ = true; }

  /// Returns true while records that are missing may be written again.
  bool isRecovering(framework::Instant Now) const {
    return Now < RecoveryEndsAt_;
  }
  /// Returns true while the store may be away, since it is not known to have
  /// answered anybody for so long that records may be lost.
  bool mayBeAway(framework::Instant Now) const {
    return AnsweredAt_ && age(Now) > LossyOutage_;
  }
  /// Returns the time since the store last answered anybody.
  framework::Duration age(framework::Instant Now) const {
    return AnsweredAt_ ? Now - *AnsweredAt_ : framework::Duration{};
  }
  /// Returns for how long the store has been available, as far as any instance
  /// has told.
  framework::Duration availableFor(framework::Instant Now) const {
    return AnsweredAt_ ? Now - AvailableSince_ : framework::Duration{};
  }
  /// Returns how long the last outage was in which records may have been lost.
  framework::Duration lastOutage() const { return LastOutage_; }

private:
  /// Nothing is known of the store for `Gap` after the last answer.
  void recordGap(framework::Duration Gap, framework::Instant EndedAt);

  framework::Duration LossyOutage_;
  framework::Duration RecoveryGrace_;
  /// When the store last answered anybody, as far as it is known.
  std::optional<framework::Instant> AnsweredAt_;
  framework::Instant AvailableSince_{};
  /// Whether a read has failed since then.
  bool HasFailed_ = false;
  framework::Duration LastOutage_{};
  framework::Instant LastOutageBeganAt_{};
  framework::Instant RecoveryEndsAt_{};
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_OUTAGEDETECTOR_H
