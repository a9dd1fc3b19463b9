#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_CONFIRMATION_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_CONFIRMATION_H

#include "framework/ids.h"
#include "framework/time.h"

#include <optional>

namespace cranberryspool::fleet {

/// When the platform last confirmed that the accepted revision of a published
/// value is the newest.
class Confirmation {
public:
  /// The value of `Revision` was the newest at `At`. `Accepted` is the revision
  /// accepted here; a confirmation of a newer one counts once it is accepted.
  void note(framework::Revision Revision, framework::Instant At,
            framework::Revision Accepted);
  /// A newer revision was accepted.
  void noteAccepted(framework::Revision Accepted);
  /// Forgets all.
  void reset();

  std::optional<framework::Instant> confirmedAt() const { return At_; }
  std::optional<framework::Duration> age(framework::Instant Now) const;
  /// The newest revision heard of.
  framework::Revision newestHeard() const { return NewestHeard_; }
  void noteHeard(framework::Revision Revision);

private:
  std::optional<framework::Instant> At_;
  framework::Revision NewestHeard_{};
  framework::Revision PendingRevision_{};
  std::optional<framework::Instant> PendingAt_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_CONFIRMATION_H
