#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_NEIGHBOURS_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_NEIGHBOURS_H

#include "fleet/internal/seeded/members.h"
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

/// The group of instances of this availability zone that share what they hear
/// of targets and of the platform's store. Its size is bounded, so that the
/// cost of an instance does not grow with the fleet; within a group each task
/// has one instance that is responsible for it.
class Neighbours {
public:
  static constexpr std::size_t MaxSize = 9;

  /// Forms the group anew from the members that run. Returns true when it has
  /// changed. Those who join count as just heard, so that tasks go to one of
  /// them before the first notices arrive.
  bool form(const Members &From, framework::Instant Now);

  /// Takes a notice of a neighbour as its sign of life.
  void noteHeard(const framework::InstanceName &Name, framework::Instant Now);

  /// Returns the addresses of those members of the zone's other groups that are
  /// told what the zone's reader of the store learns: of each group the two
  /// that come first for reading it.
  const std::vector<std::string> &delegates() const { return Delegates_; }

  /// Returns the addresses of those members of other zones that are told of the
  /// targets of this zone, and tell their zones.
  const std::vector<std::string> &otherZones() const { return OtherZones_; }

  bool isNeighbour(const framework::InstanceName &Name) const {
    return Addresses_.contains(Name);
  }
  /// True when the member is in this zone, as far as is known.
  bool isInZone(const framework::InstanceName &Name) const {
    return Zone_.contains(Name);
  }

  /// True when this instance reads the store for its zone, as far as it can
  /// tell which members run.
  bool isZoneReader(const framework::InstanceName &Self,
                    framework::Instant Now) const;
  /// True when it tells its group what is in the store.
  bool isTeller(const framework::InstanceName &Self,
                framework::Instant Now) const;

  /// Returns the addresses of the others.
  const std::map<framework::InstanceName, std::string> &addresses() const {
    return Addresses_;
  }

  /// True when this instance comes first for the task among those that were
  /// heard lately.
  bool isResponsible(std::string_view Task, const framework::InstanceName &Self,
                     framework::Instant Now) const;

  /// The same among all members of the zone, those of other groups as far as
  /// they are known to run.
  bool isZoneResponsible(std::string_view Task,
                         const framework::InstanceName &Self,
                         framework::Instant Now) const;

private:
  struct Member {
    framework::InstanceName Name_;
    std::string Address_;
  };

  /// A neighbour that was not heard for so long is responsible for nothing.
  static constexpr framework::Duration SilentAfter =
      std::chrono::milliseconds(700);

  void appoint(const std::vector<Member> &Zone, std::size_t Groups,
               std::size_t OwnGroup);
  void appointAbroad(const Members &From);

  std::uint64_t FormedFor_ = ~std::uint64_t{};
  std::map<framework::InstanceName, std::string> Addresses_;
  std::vector<std::string> Delegates_;
  std::vector<std::string> OtherZones_;
  std::set<framework::InstanceName> Zone_;
  /// The highest rank for reading the store in the zone's other groups.
  std::uint64_t BestElsewhere_ = 0;
  std::map<framework::InstanceName, framework::Instant> HeardAt_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_NEIGHBOURS_H
