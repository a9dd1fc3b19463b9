#ifndef CRANBERRYSPOOL_FLEET_TYPES_SEEDSETTINGS_H
#define CRANBERRYSPOOL_FLEET_TYPES_SEEDSETTINGS_H

#include "fleet/recorddecoder.h"
#include "fleet/types/fleetbounds.h"

#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// Settings of a fleet whose instances discover each other, because the
/// platform publishes targets but no instances. Discovery starts from the
/// addresses of a few instances, any of which may be down or outdated.
struct SeedSettings {
  /// The addresses, as `IP:port`, to which messages for the seeds are sent.
  std::vector<std::string> Addresses_;
  RecordDecoder Decode_;
  FleetBounds Bounds_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_SEEDSETTINGS_H
