#ifndef CRANBERRYSPOOL_ROUTING_RINGDISTANCE_H
#define CRANBERRYSPOOL_ROUTING_RINGDISTANCE_H

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace cranberryspool::routing {

/// Returns the distance, from 0 to 0.5, between an instance and a target on a
/// ring of length 1 on which instances and targets are spaced evenly.
/// `InstanceRank` is the instance's position by name among the live instances
/// of its availability zone, `TargetRank` the target's position by name among
/// the targets of its service and availability zone. Instances with the same
/// lists compute the same ring, so that each target is close to the same number
/// of instances. The distance is 0 when there is only one instance.
inline double ringDistance(std::uint32_t InstanceRank, std::uint32_t Instances,
                           std::uint32_t TargetRank, std::uint32_t Targets) {
  if (Instances <= 1 || Targets == 0)
    return 0;
  const double InstancePosition = (InstanceRank + 0.5) / Instances;
  const double TargetPosition = (TargetRank + 0.5) / Targets;
  const double Distance = std::abs(InstancePosition - TargetPosition);
  return std::min(Distance, 1 - Distance);
}

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_RINGDISTANCE_H
