#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_TARGETSHARES_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_TARGETSHARES_H

#include "document/types/environmentdocument.h"
#include "fleet/internal/homehistory.h"
#include "fleet/internal/instancestore.h"

#include <map>
#include <vector>

namespace cranberryspool::fleet {

/// This instance's share of the bounds that hold at each target for the sum of
/// all instances. A share is computed from the published list and the
/// document, never from the peers that are heard.
class TargetShares {
public:
  explicit TargetShares(framework::InstanceName Self);

  /// The list or the document changed.
  void rebuild(const InstanceStore &List,
               const document::EnvironmentDocument *Document,
               framework::Instant Now);
  /// Must be told at each event until when the platform's confirmation of the
  /// list is fresh. Returns true when shares changed.
  bool noteConfirmed(framework::Instant Until, framework::Instant Now);

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
    /// True when each instance may send `MaxInFlight_` by itself.
    bool IsForAll_ = false;
    framework::Duration ProbeSpacing_{};
    framework::Duration LongestCall_{};
    std::optional<framework::Instant> HomeSince_;
    framework::Instant ProbedAt_{};
  };

  void rebuildHomes();

  HomeHistory Homes_;
  framework::Digest MembersDigest_;
  framework::Instant ConfirmedUntil_{};
  bool WasConfirmed_ = false;
  framework::Instant LastChange_{};
  std::map<framework::TargetName, Share> Shares_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_TARGETSHARES_H
