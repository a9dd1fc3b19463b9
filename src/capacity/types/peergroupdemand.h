#ifndef CRANBERRYSPOOL_CAPACITY_TYPES_PEERGROUPDEMAND_H
#define CRANBERRYSPOOL_CAPACITY_TYPES_PEERGROUPDEMAND_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cranberryspool::capacity {

/// The demand of the members of a peer group for one service.
struct PeerGroupDemand {
  /// The number of running instances of the fleet.
  std::uint32_t FleetSize_ = 1;
  /// The rank of the group's first member among them. The ranks of the members
  /// are consecutive.
  std::uint32_t FirstRank_ = 0;
  /// The demand of each member, in order of rank; nothing where it is unknown
  /// or too old.
  std::vector<std::optional<std::uint32_t>> Calls_;
  /// The position of this instance in `Calls_`.
  std::size_t Own_ = 0;
};

} // namespace cranberryspool::capacity

#endif // CRANBERRYSPOOL_CAPACITY_TYPES_PEERGROUPDEMAND_H
