#ifndef CRANBERRYSPOOL_FLEET_FLEETSETTINGS_H
#define CRANBERRYSPOOL_FLEET_FLEETSETTINGS_H

#include "fleet/types/seedsettings.h"
#include "framework/ids.h"

#include <optional>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// The identity of an instance and how it discovers its peers.
struct FleetSettings {
  framework::InstanceName Self_;
  /// The start time of the process, so that a later start has a higher number.
  framework::Incarnation Incarnation_;
  framework::ZoneName Zone_;
  /// `IP:port` where this instance receives peer messages.
  std::string Address_;
  /// Set where instances discover each other through seeds instead of the
  /// platform's list of instances.
  std::optional<SeedSettings> Seeds_ = std::nullopt;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_FLEETSETTINGS_H
