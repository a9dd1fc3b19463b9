#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_RINGPOSITIONS_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_RINGPOSITIONS_H

#include "framework/ids.h"

#include <cstdint>
#include <map>
#include <utility>

namespace cranberryspool::decision {

class Environment;

/// Where this instance and the targets stand on the ring on which each spreads
/// over the targets of a service and availability zone.
class RingPlaces {
public:
  RingPlaces(const Environment &World, const framework::InstanceName &Self,
             const framework::ZoneName &OwnZone);

  /// Returns the distance between this instance and a listed target.
  double distance(framework::TargetId Target) const;

private:
  using Group = std::pair<framework::ServiceId, framework::ZoneId>;
  struct Place {
    Group Group_;
    std::uint32_t Rank_ = 0;
  };

  std::uint32_t OwnRank_ = 0;
  std::uint32_t Instances_ = 0;
  std::map<Group, std::uint32_t> GroupSizes_;
  std::map<framework::TargetId, Place> Places_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_RINGPOSITIONS_H
