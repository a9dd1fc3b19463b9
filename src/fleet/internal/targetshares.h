#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_TARGETSHARES_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_TARGETSHARES_H

#include "document/types/environmentdocument.h"
#include "fleet/internal/instancestore.h"
#include "fleet/internal/ownershiphistory.h"

#include <map>
#include <vector>

namespace cranberryspool::fleet {

/// This instance's share of the limits that apply at each target to the sum of
/// all instances. Shares are computed from the published list and the document,
/// never from the currently reachable peers.
class TargetShares {
public:
  explicit TargetShares(framework::InstanceName Self);

  /// Recomputes the shares after a change of the list or the document.
  void rebuild(const InstanceStore &List,
               const document::EnvironmentDocument *Document,
               framework::Instant Now);
  /// Must be called after each event, with the time until which the platform's
  /// confirmation of the list is valid. Returns true when shares changed.
  bool updateConfirmation(framework::Instant Until, framework::Instant Now);

  std::uint32_t coldShare(const framework::TargetName &Target,
                          framework::Instant Now) const;
  std::uint32_t connectionShare(const framework::TargetName &Target) const;
  bool mayProbe(const framework::TargetName &Target,
                framework::Instant Now) const;
  void recordProbe(const framework::TargetName &Target, framework::Instant Now);

private:
  struct Share {
    std::uint32_t MaxInFlight_ = 0;
    std::uint32_t Connections_ = 1;
    /// True when every instance may have `MaxInFlight_` requests in flight;
    /// false when only the target's owner may.
    bool IsPerInstance_ = false;
    framework::Duration ProbeSpacing_{};
    framework::Duration LongestCall_{};
    std::optional<framework::Instant> OwnedSince_;
    framework::Instant ProbedAt_{};
  };

  void refreshOwnership();

  OwnershipHistory Ownership_;
  framework::Digest MembersDigest_;
  framework::Instant ConfirmedUntil_{};
  bool WasConfirmed_ = false;
  framework::Instant LastUpdateAt_{};
  std::map<framework::TargetName, Share> Shares_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_TARGETSHARES_H
