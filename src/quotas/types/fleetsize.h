#ifndef CRANBERRYSPOOL_QUOTAS_TYPES_FLEETSIZE_H
#define CRANBERRYSPOOL_QUOTAS_TYPES_FLEETSIZE_H

#include "framework/time.h"

#include <cstdint>

namespace cranberryspool::quotas {

/// The largest number of instances that an instance knows to have run at the
/// same time. An instance that has just restarted learns it from its peers;
/// alone it would take its side of a partition for the whole fleet.
struct FleetSize {
  std::uint64_t Count_ = 1;
  /// The time since this many ran.
  framework::Duration Age_{};

  friend bool operator==(const FleetSize &, const FleetSize &) = default;
};

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_TYPES_FLEETSIZE_H
