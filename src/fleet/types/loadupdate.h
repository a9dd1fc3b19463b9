#ifndef CRANBERRYSPOOL_FLEET_TYPES_LOADUPDATE_H
#define CRANBERRYSPOOL_FLEET_TYPES_LOADUPDATE_H

#include "fleet/types/targetload.h"
#include "framework/ids.h"

#include <vector>

namespace cranberryspool::fleet {

/// Sends recent load reports of targets to other instances. Also serves as a
/// heartbeat, with or without reports.
struct LoadUpdate {
  framework::InstanceName From_;
  framework::Incarnation Incarnation_;
  std::vector<TargetLoad> Loads_;

  friend bool operator==(const LoadUpdate &, const LoadUpdate &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_LOADUPDATE_H
