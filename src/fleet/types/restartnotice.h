#ifndef CRANBERRYSPOOL_FLEET_TYPES_RESTARTNOTICE_H
#define CRANBERRYSPOOL_FLEET_TYPES_RESTARTNOTICE_H

#include "framework/ids.h"

namespace cranberryspool::fleet {

/// Reports that a target was seen with a new start id.
struct RestartNotice {
  framework::TargetName Target_;
  framework::Incarnation StartId_;

  friend bool operator==(const RestartNotice &,
                         const RestartNotice &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_RESTARTNOTICE_H
