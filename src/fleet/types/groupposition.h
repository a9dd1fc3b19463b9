#ifndef CRANBERRYSPOOL_FLEET_TYPES_GROUPPOSITION_H
#define CRANBERRYSPOOL_FLEET_TYPES_GROUPPOSITION_H

#include "framework/ids.h"

#include <cstdint>
#include <vector>

namespace cranberryspool::fleet {

/// The position of this instance's peer group among the running instances,
/// which are ordered by zone and name.
struct GroupPosition {
  std::uint32_t FleetSize_ = 1;
  /// The rank of the first member. The ranks of the members are consecutive.
  std::uint32_t FirstRank_ = 0;
  /// The members in order of rank, including this instance.
  std::vector<framework::InstanceName> Members_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_GROUPPOSITION_H
