#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_KEYOWNERSHIP_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_KEYOWNERSHIP_H

#include "document/types/publishedinstance.h"
#include "fleet/internal/instancestore.h"
#include "fleet/internal/ownershiphistory.h"
#include "fleet/internal/peertable.h"
#include "framework/moment.h"

#include <deque>
#include <optional>

namespace cranberryspool::fleet {

/// Determines for which keys this instance may decide. This requires heartbeat
/// round trips to more than half of the published instances, all of which hold
/// a list known here. Two instances with different lists cannot both have such
/// a majority for long, because every peer reports its list to both (compare
/// the quorums of legislatures in "High-level design: Replication subsystem").
class KeyOwnership {
public:
  explicit KeyOwnership(framework::InstanceName Self);

  /// Must be called after each event that may change the list of members, the
  /// acknowledgements from peers, or the time.
  void update(const InstanceStore &List, const PeerTable &Peers,
              framework::Instant Now);
  /// Records that the previous owner has handed over all keys that moved with
  /// the given members.
  void recordHandover(const framework::InstanceName &From,
                      framework::Digest Members, framework::Revision Revision,
                      framework::WallTime KnownSince);

  bool hasMajority(framework::Instant Now) const {
    return Now <= MajorityUntil_;
  }
  /// Returns the time since which all keys are known: an unknown key created
  /// later is certainly new. Returns nothing when this instance must not
  /// decide.
  std::optional<framework::WallTime>
  knownSince(const framework::IdempotencyKey &Key, framework::Moment Now) const;
  /// Returns true when the members have changed within `KeyConvergenceTime` and
  /// this instance owns the key, so that it may be able to decide once the list
  /// takes effect or a handover arrives.
  bool isTakingOver(const framework::IdempotencyKey &Key,
                    framework::Instant Now) const;
  bool isConverging(framework::Instant Now) const;
  /// Returns the latest of the times since which keys are known, over all keys
  /// that this instance has owned.
  std::optional<framework::WallTime>
  latestKnownSince(framework::Moment Now) const;

private:
  struct Handover {
    framework::InstanceName From_;
    framework::Digest Members_;
    framework::Revision Revision_;
    framework::WallTime KnownSince_;
  };

  framework::WallTime estimateKnownSince(const OwnershipPeriod &Period,
                                         framework::Moment Now) const;
  const Handover *findHandover(const OwnershipPeriod &Period) const;

  framework::InstanceName Self_;
  OwnershipHistory History_;
  std::vector<document::PublishedInstance> Members_;
  framework::Digest CurrentDigest_;
  framework::Revision ListRevision_{};
  std::size_t FleetSize_ = 1;
  framework::Instant MembersChangedAt_{};
  framework::Instant MajorityUntil_{};
  std::deque<Handover> Handovers_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_KEYOWNERSHIP_H
