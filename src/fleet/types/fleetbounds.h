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
  /// True when a key that was withdrawn must stop working everywhere within
  /// `RevocationTime_`, whether or not an instance can read the store.
  bool IsRevocationStrict_ = false;
  framework::Duration RevocationTime_ = std::chrono::seconds(5);
  /// In a window of `QuotaWindow_`, a workspace may send its rate plus its
  /// burst times `1 + QuotaOverage_` plus `QuotaTolerance_` requests.
  framework::Duration QuotaWindow_ = std::chrono::seconds(5);
  double QuotaOverage_ = 0.25;
  double QuotaTolerance_ = 20;
  /// Changes of the metadata store must take effect everywhere within this time
  /// of their acknowledgement.
  framework::Duration ChangeTime_ = std::chrono::milliseconds(2000);
  /// How long after an outage of the metadata store targets are kept whose
  /// records it has lost, so that they can be written again.
  framework::Duration RecoveryGrace_ = std::chrono::milliseconds(2200);
  /// The shortest outage of the metadata store in which records of running
  /// targets may be lost.
  framework::Duration LossyOutage_ = std::chrono::milliseconds(2500);
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_FLEETBOUNDS_H
