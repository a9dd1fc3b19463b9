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
  void recordConfirmed(framework::Revision Revision, framework::Instant At,
                       framework::Revision Accepted);
  /// Must be called after a newer revision is accepted.
  void applyAccepted(framework::Revision Accepted);
  /// Discards all confirmations.
  void reset();

  std::optional<framework::Instant> confirmedAt() const { return At_; }
  std::optional<framework::Duration> age(framework::Instant Now) const;
  /// Returns the newest revision that is known to exist, accepted or not.
  framework::Revision newestKnownRevision() const {
    return NewestKnownRevision_;
  }
  void recordKnownRevision(framework::Revision Revision);

private:
  std::optional<framework::Instant> At_;
  framework::Revision NewestKnownRevision_{};
  framework::Revision PendingRevision_{};
  std::optional<framework::Instant> PendingAt_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_CONFIRMATION_H
