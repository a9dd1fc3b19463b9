#ifndef CRANBERRYSPOOL_FLEET_TYPES_FLEETBOUNDS_H
#define CRANBERRYSPOOL_FLEET_TYPES_FLEETBOUNDS_H

#include "framework/time.h"

#include <cstdint>

namespace cranberryspool::fleet {

/// Bounds that the platform sets for all instances of the fleet together.
struct FleetBounds {
  /// A cold target may receive `ColdOverage_` times its own rate plus
  /// `ColdTolerance_` requests per second.
  double ColdOverage_ = 1.0;
  double ColdTolerance_ = 0;
  /// A service may receive `RetryRatio_` times the number of its calls plus
  /// `RetrySlack_` retries within `RetryWindow_`.
  double RetryRatio_ = 0.1;
  double RetrySlack_ = 0;
  framework::Duration RetryWindow_ = std::chrono::seconds(10);
  /// How long after an outage of the metadata store targets are kept whose
  /// records it has lost, so that they can be written again.
  framework::Duration RecoveryGrace_ = std::chrono::milliseconds(2200);
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_FLEETBOUNDS_H
