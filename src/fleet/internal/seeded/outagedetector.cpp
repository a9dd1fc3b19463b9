#include "fleet/internal/seeded/outagedetector.h"

#include <algorithm>

namespace cranberryspool::fleet {

using framework::Duration;
using framework::Instant;

void OutageDetector::recordAnswer(Instant StartedAt, Instant Now) {
  if (AnsweredAt_ && Now <= *AnsweredAt_)
    return;
  if (!AnsweredAt_)
    AvailableSince_ = Now;
  if (AnsweredAt_) {
    // While no read has failed, the store was there when this one began.
    const Instant Seen = std::max(StartedAt, *AnsweredAt_);
    recordGap(HasFailed_ ? Now - *AnsweredAt_
                         : std::max(Seen - *AnsweredAt_, Now - Seen),
              Now);
  }
  AnsweredAt_ = Now;
  HasFailed_ = false;
}

void OutageDetector::recordAnswerToOther(Instant At, Instant AvailableSince) {
  if (!AnsweredAt_)
    AvailableSince_ = At;
  if (!AnsweredAt_ || At > *AnsweredAt_) {
    if (AnsweredAt_ && AvailableSince > *AnsweredAt_)
      recordGap(At - *AnsweredAt_, At);
    AnsweredAt_ = At;
    HasFailed_ = false;
  }
  if (At < AvailableSince_ || AvailableSince >= AvailableSince_)
    return;
  AvailableSince_ = AvailableSince;
  if (AvailableSince <= LastOutageBeganAt_)
    RecoveryEndsAt_ = Instant{};
}

void OutageDetector::recordGap(Duration Gap, Instant EndedAt) {
  if (Gap <= LossyOutage_)
    return;
  LastOutage_ = Gap;
  LastOutageBeganAt_ = *AnsweredAt_;
  AvailableSince_ = EndedAt;
  RecoveryEndsAt_ = EndedAt + RecoveryGrace_;
}

} // namespace cranberryspool::fleet
