#ifndef CRANBERRYSPOOL_ROUTING_RINGDISTANCE_H
#define CRANBERRYSPOOL_ROUTING_RINGDISTANCE_H

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace cranberryspool::routing {

/// Returns the distance, from 0 to 0.5, between an instance and a target on a
/// ring of length 1 on which both kinds are spread evenly. The rank of the
/// instance is its position among the live instances of its availability zone
/// by name, that of the target its position among the targets of its service
/// and availability zone by name. All instances that see the same lists spread
/// alike, so that every target is near to as many instances. An instance alone
/// is near to all targets.
inline double ringDistance(std::uint32_t InstanceRank, std::uint32_t Instances,
                           std::uint32_t TargetRank, std::uint32_t Targets) {
  if (Instances <= 1 || Targets == 0)
    return 0;
  const double Here = (InstanceRank + 0.5) / Instances;
  const double There = (TargetRank + 0.5) / Targets;
  const double Way = std::abs(Here - There);
  return std::min(Way, 1 - Way);
}

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_RINGDISTANCE_H
