#ifndef CRANBERRYSPOOL_FLEET_TYPES_FLEETBOUNDS_H
#define CRANBERRYSPOOL_FLEET_TYPES_FLEETBOUNDS_H

#include "framework/time.h"

#include <cstdint>

namespace cranberryspool::fleet {

/// Bounds that the platform sets for the sum over all instances.
struct FleetBounds {
  /// Requests a second to a cold target: `ColdOverage_` times its rate plus
  /// `ColdTolerance_`.
  double ColdOverage_ = 1.0;
  double ColdTolerance_ = 0;
  /// Attempts beyond the first at a service within `RetryWindow_`:
  /// `RetryRatio_` of its calls plus `RetrySlack_`.
  double RetryRatio_ = 0.1;
  double RetrySlack_ = 0;
  framework::Duration RetryWindow_ = std::chrono::seconds(10);
  /// How long after the return of the store the entries that it lost meanwhile
  /// may take to come back.
  framework::Duration RecoveryGrace_ = std::chrono::milliseconds(2200);
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_FLEETBOUNDS_H
