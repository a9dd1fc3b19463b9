#include "fleet/internal/confirmation.h"

#include <algorithm>

namespace cranberryspool::fleet {

void Confirmation::recordConfirmed(framework::Revision Revision,
                                   framework::Instant ConfirmedAt,
                                   framework::Revision Accepted) {
  recordKnownRevision(Revision);
  if (Revision < Accepted)
    return;
  if (Revision == Accepted) {
    ConfirmedAt_ =
        ConfirmedAt_ ? std::max(*ConfirmedAt_, ConfirmedAt) : ConfirmedAt;
    return;
  }
  if (Revision == PendingRevision_ && PendingConfirmedAt_) {
    PendingConfirmedAt_ = std::max(*PendingConfirmedAt_, ConfirmedAt);
    return;
  }
  if (Revision > PendingRevision_) {
    PendingRevision_ = Revision;
    PendingConfirmedAt_ = ConfirmedAt;
  }
}

void Confirmation::handleAccepted(framework::Revision Accepted) {
  recordKnownRevision(Accepted);
  if (!PendingConfirmedAt_)
    return;
  if (PendingRevision_ > Accepted)
    return;
  if (PendingRevision_ == Accepted)
    ConfirmedAt_ = ConfirmedAt_ ? std::max(*ConfirmedAt_, *PendingConfirmedAt_)
                                : *PendingConfirmedAt_;
  PendingConfirmedAt_.reset();
}

void Confirmation::reset() {
  ConfirmedAt_.reset();
  PendingConfirmedAt_.reset();
}

std::optional<framework::Duration>
Confirmation::age(framework::Instant Now) const {
  if (!ConfirmedAt_)
    return std::nullopt;
  return Now - *ConfirmedAt_;
}

void Confirmation::recordKnownRevision(framework::Revision Revision) {
  NewestKnownRevision_ = std::max(NewestKnownRevision_, Revision);
}

} // namespace cranberryspool::fleet
