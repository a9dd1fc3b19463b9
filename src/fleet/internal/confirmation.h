#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_CONFIRMATION_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_CONFIRMATION_H

#include "framework/ids.h"
#include "framework/time.h"

#include <optional>

namespace cranberryspool::fleet {

/// Tracks when the platform last confirmed that the accepted revision of a
/// published value is the newest one.
class Confirmation {
public:
  /// Records that `Revision` was the newest one at `At`. `Accepted` is the
  /// revision accepted here; the confirmation of a newer revision takes effect
  /// when that revision is accepted.
  void recordConfirmed(framework::Revision Revision,
                       framework::Instant ConfirmedAt,
                       framework::Revision Accepted);
  /// Must be called after a newer revision is accepted.
  void handleAccepted(framework::Revision Accepted);
  /// Discards all confirmations.
  void reset();

  std::optional<framework::Instant> confirmedAt() const { return ConfirmedAt_; }
  std::optional<framework::Duration> age(framework::Instant Now) const;
  /// Returns the newest revision that is known to exist, accepted or not.
  framework::Revision newestKnownRevision() const {
    return NewestKnownRevision_;
  }
  void recordKnownRevision(framework::Revision Revision);

private:
  std::optional<framework::Instant> ConfirmedAt_;
  framework::Revision NewestKnownRevision_{};
  /// A confirmed revision that has not been accepted yet.
  framework::Revision PendingRevision_{};
  std::optional<framework::Instant> PendingConfirmedAt_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_CONFIRMATION_H
