#ifndef CRANBERRYSPOOL_FLEET_TYPES_SEEDSETTINGS_H
#define CRANBERRYSPOOL_FLEET_TYPES_SEEDSETTINGS_H

#include "fleet/recorddecoder.h"
#include "fleet/types/fleetbounds.h"

#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// How instances find each other where the platform lists only targets: by the
/// addresses of a few instances, any of which may be down or out of date.
struct SeedSettings {
  /// `IP:port` of peer messages.
  std::vector<std::string> Addresses_;
  RecordDecoder Decode_;
  FleetBounds Bounds_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_SEEDSETTINGS_H
