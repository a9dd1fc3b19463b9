#ifndef CRANBERRYSPOOL_FLEET_FLEETSETTINGS_H
#define CRANBERRYSPOOL_FLEET_FLEETSETTINGS_H

#include "fleet/types/seedsettings.h"
#include "framework/ids.h"

#include <optional>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// What an instance knows of itself and its peers at the start.
struct FleetSettings {
  framework::InstanceName Self_;
  /// Later starts have higher numbers: the time of the start.
  framework::Incarnation Incarnation_;
  framework::ZoneName Zone_;
  /// `IP:port` of this instance's peer messages.
  std::string Address_;
  /// Set where instances find each other by seeds, not by the platform's list.
  std::optional<SeedSettings> Seeds_ = std::nullopt;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_FLEETSETTINGS_H
