#ifndef CRANBERRYSPOOL_FLEET_TYPES_COLDNOTICE_H
#define CRANBERRYSPOOL_FLEET_TYPES_COLDNOTICE_H

#include "framework/ids.h"

namespace cranberryspool::fleet {

/// Tells that a target was seen with a new start id.
struct ColdNotice {
  framework::TargetName Target_;
  framework::Incarnation StartId_;

  friend bool operator==(const ColdNotice &, const ColdNotice &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_COLDNOTICE_H
