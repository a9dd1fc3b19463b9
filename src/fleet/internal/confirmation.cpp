#include "fleet/internal/confirmation.h"

#include <algorithm>

namespace cranberryspool::fleet {

void Confirmation::recordConfirmed(framework::Revision Revision,
                                   framework::Instant At,
                                   framework::Revision Accepted) {
  recordKnownRevision(Revision);
  if (Revision < Accepted)
    return;
  if (Revision == Accepted) {
    At_ = At_ ? std::max(*At_, At) : At;
    return;
  }
  if (Revision == PendingRevision_ && PendingAt_) {
    PendingAt_ = std::max(*PendingAt_, At);
    return;
  }
  if (Revision > PendingRevision_) {
    PendingRevision_ = Revision;
    PendingAt_ = At;
  }
}

void Confirmation::applyAccepted(framework::Revision Accepted) {
  recordKnownRevision(Accepted);
  if (!PendingAt_)
    return;
  if (PendingRevision_ > Accepted)
    return;
  if (PendingRevision_ == Accepted)
    At_ = At_ ? std::max(*At_, *PendingAt_) : *PendingAt_;
  PendingAt_.reset();
}

void Confirmation::reset() {
  At_.reset();
  PendingAt_.reset();
}

std::optional<framework::Duration>
Confirmation::age(framework::Instant Now) const {
  if (!At_)
    return std::nullopt;
  return Now - *At_;
}

void Confirmation::recordKnownRevision(framework::Revision Revision) {
  NewestKnownRevision_ = std::max(NewestKnownRevision_, Revision);
}

} // namespace cranberryspool::fleet
