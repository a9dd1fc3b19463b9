#ifndef CRANBERRYSPOOL_FLEET_TYPES_LOADUPDATE_H
#define CRANBERRYSPOOL_FLEET_TYPES_LOADUPDATE_H

#include "fleet/types/targetload.h"
#include "framework/ids.h"

#include <vector>

namespace cranberryspool::fleet {

/// What an instance has lately heard of targets, told to its neighbours. Also
/// their sign that it runs.
struct LoadUpdate {
  framework::InstanceName From_;
  framework::Incarnation Incarnation_;
  std::vector<TargetLoad> Loads_;

  friend bool operator==(const LoadUpdate &, const LoadUpdate &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_LOADUPDATE_H
