#ifndef CRANBERRYSPOOL_FLEET_TYPES_LOADNOTICE_H
#define CRANBERRYSPOOL_FLEET_TYPES_LOADNOTICE_H

#include "fleet/types/sharedload.h"
#include "framework/ids.h"

#include <vector>

namespace cranberryspool::fleet {

/// What an instance has lately heard of targets, told to its neighbours. Also
/// their sign that it runs.
struct LoadNotice {
  framework::InstanceName From_;
  framework::Incarnation Incarnation_;
  std::vector<SharedLoad> Loads_;

  friend bool operator==(const LoadNotice &, const LoadNotice &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_LOADNOTICE_H
