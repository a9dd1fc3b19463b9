#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_KEYOWNERSHIP_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_KEYOWNERSHIP_H

#include "document/types/publishedinstance.h"
#include "fleet/internal/homehistory.h"
#include "fleet/internal/instancestore.h"
#include "fleet/internal/peertable.h"
#include "framework/moment.h"

#include <deque>
#include <optional>

namespace cranberryspool::fleet {

/// Says for which keys this instance may decide. That takes round trips to more
/// than half of the published instances that hold a list known here: two
/// instances with different lists cannot both have that for long, because a
/// peer tells its list to both (compare the quorums of legislatures in
/// "High-level design: Replication subsystem").
class KeyOwnership {
public:
  explicit KeyOwnership(framework::InstanceName Self);

  /// Must be called at each event that brings evidence or time.
  void update(const InstanceStore &List, const PeerTable &Peers,
              framework::Instant Now);
  /// The home before has handed over all that moved with the given members.
  void noteHandover(const framework::InstanceName &From,
                    framework::Digest Members, framework::Revision Revision,
                    framework::WallTime Floor);

  bool hasMajority(framework::Instant Now) const {
    return Now <= MajorityUntil_;
  }
  /// Returns the time after which an unknown key must have been made to be
  /// surely new; nothing when this instance must not decide.
  std::optional<framework::WallTime> floor(const framework::IdempotencyKey &Key,
                                           framework::Moment Now) const;
  /// True when this instance has become the home of the key within the last
  /// moments, so that a settled list or a handover may soon let it decide.
  bool isTakingOver(const framework::IdempotencyKey &Key,
                    framework::Instant Now) const;
  bool isSettling(framework::Instant Now) const;
  /// Returns the latest floor of all keys that this instance was home of.
  std::optional<framework::WallTime> latestFloor(framework::Moment Now) const;

private:
  struct Handover {
    framework::InstanceName From_;
    framework::Digest Members_;
    framework::Revision Revision_;
    framework::WallTime Floor_;
  };

  framework::WallTime floorOf(const Tenure &Item, framework::Moment Now) const;
  const Handover *findHandover(const Tenure &Item) const;

  framework::InstanceName Self_;
  HomeHistory Homes_;
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
