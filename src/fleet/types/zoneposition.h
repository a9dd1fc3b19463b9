#ifndef CRANBERRYSPOOL_FLEET_TYPES_ZONEPOSITION_H
#define CRANBERRYSPOOL_FLEET_TYPES_ZONEPOSITION_H

#include <cstdint>

namespace cranberryspool::fleet {

/// The position of this instance by name among the running instances of its
/// availability zone.
struct ZonePosition {
  std::uint32_t Rank_ = 0;
  /// The number of these instances, including this one.
  std::uint32_t Instances_ = 1;

  friend bool operator==(const ZonePosition &, const ZonePosition &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_ZONEPOSITION_H
