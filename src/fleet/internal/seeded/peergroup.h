#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_PEERGROUP_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_PEERGROUP_H

#include "fleet/internal/seeded/membership.h"
#include "fleet/types/zoneposition.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryspool::fleet {

/// The group of instances of this availability zone that exchange load reports
/// and changes of the metadata store with each other. The instances of a zone
/// are divided into groups of bounded size, so that the traffic of an instance
/// does not grow with the fleet. For each task, such as reading the store or
/// probing a target, rendezvous hashing makes one instance responsible; while
/// instances disagree on who is running, several may be.
class PeerGroup {
public:
  static constexpr std::size_t MaxSize = 9;

  /// Recomputes the group from the members that are running. Returns true when
  /// the group has changed. Instances that join it count as active, so that
  /// they can be responsible for tasks before their first message arrives.
  bool rebuild(const Membership &Members, framework::Instant Now);

  /// Refreshes an instance of the group that has sent a message; ignores other
  /// instances.
  void recordActivity(const framework::InstanceName &Name,
                      framework::Instant Now);

  /// Refreshes an instance of this zone that has sent an update of the metadata
  /// store without a request: it leads its group or the zone.
  void recordUpdate(const framework::InstanceName &Name,
                    const framework::InstanceName &Self,
                    framework::Instant Now);

  /// Returns the addresses of the instances that pass updates on to the other
  /// groups of this zone: in each group the two that rank highest for reading
  /// the store.
  const std::vector<std::string> &groupRelays() const { return GroupRelays_; }

  /// Returns the addresses of the instances in other zones that receive the
  /// load reports of this zone's targets and pass them on in their own zones.
  const std::vector<std::string> &zoneRelays() const { return ZoneRelays_; }

  /// Returns the position of this instance in its availability zone.
  ZonePosition zonePosition() const { return ZonePosition_; }

  bool isInGroup(const framework::InstanceName &Name) const {
    return Addresses_.contains(Name);
  }
  /// Returns true when the instance is known to run in this availability zone.
  bool isInZone(const framework::InstanceName &Name) const {
    return Zone_.contains(Name);
  }

  /// Returns true when this instance watches the metadata store on behalf of
  /// its zone: it leads its group, and no instance of another group that ranks
  /// higher has sent updates within the silence timeout.
  bool isZoneLeader(const framework::InstanceName &Self,
                    framework::Instant Now) const;
  /// Returns true when this instance sends changes of the metadata store to its
  /// group: no member that ranks higher has sent any within the silence
  /// timeout.
  bool isGroupLeader(const framework::InstanceName &Self,
                     framework::Instant Now) const;

  /// Returns the addresses of the other instances of the group, by name.
  const std::map<framework::InstanceName, std::string> &addresses() const {
    return Addresses_;
  }

  /// Returns true when this instance ranks highest for the task among the
  /// instances of the group that were active within the silence timeout.
  bool isResponsibleInGroup(std::string_view Task,
                            const framework::InstanceName &Self,
                            framework::Instant Now) const;

  /// Returns true when this instance is responsible in its group and ranks
  /// above all running members of the zone's other groups as well.
  bool isResponsibleInZone(std::string_view Task,
                           const framework::InstanceName &Self,
                           framework::Instant Now) const;

private:
  /// An instance that is considered as a relay.
  struct Candidate {
    framework::InstanceName Name_;
    std::string Address_;
  };

  /// An instance of the group that has sent nothing for this long loses its
  /// responsibilities to the next in rank.
  static constexpr framework::Duration SilenceTimeout =
      std::chrono::milliseconds(700);
  /// When a zone's leader is silent, the leader of the highest-ranked other
  /// group takes over, and each further one waits this much longer, up to
  /// `MaxTakeoverIntervals` times, so that not all of them read the store at
  /// once.
  static constexpr framework::Duration TakeoverInterval =
      std::chrono::milliseconds(100);
  static constexpr std::size_t MaxTakeoverIntervals = 4;

  /// Returns true when an instance that ranks above this one for the task was
  /// active within the silence timeout, by the given times of its last
  /// activity.
  static bool isHigherRankedActive(
      std::string_view Task, const framework::InstanceName &Self,
      const std::map<framework::InstanceName, framework::Instant> &ActiveAt,
      framework::Instant Now);
  /// Counts the other groups of the zone with an instance that ranks above this
  /// one for reading the store.
  std::size_t countHigherGroups(const framework::InstanceName &Self) const;
  void selectGroupRelays(const std::vector<Candidate> &Zone, std::size_t Groups,
                         std::size_t OwnGroup);
  void selectZoneRelays(const Membership &Members);

  /// The version of the membership from which the group was last computed.
  std::uint64_t BuiltVersion_ = ~std::uint64_t{};
  std::map<framework::InstanceName, std::string> Addresses_;
  std::vector<std::string> GroupRelays_;
  std::vector<std::string> ZoneRelays_;
  ZonePosition ZonePosition_;
  /// The running members of this zone, including this instance.
  std::set<framework::InstanceName> Zone_;
  /// The highest rendezvous weight for reading the store in each of the zone's
  /// other groups.
  std::vector<std::uint64_t> OtherGroupWeights_;
  std::map<framework::InstanceName, framework::Instant> LastSeenAt_;
  /// When each instance of the group last sent an update, or joined it.
  std::map<framework::InstanceName, framework::Instant> LastUpdateAt_;
  /// When an instance of another group that ranks higher last sent an update,
  /// or was first known.
  framework::Instant LastZoneUpdateAt_{};
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_PEERGROUP_H
