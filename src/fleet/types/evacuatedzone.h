#ifndef CRANBERRYSPOOL_FLEET_TYPES_EVACUATEDZONE_H
#define CRANBERRYSPOOL_FLEET_TYPES_EVACUATEDZONE_H

#include "framework/ids.h"

namespace cranberryspool::fleet {

/// Operators want no more work sent to the targets of this availability zone.
struct EvacuatedZone {
  framework::ZoneName Zone_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_EVACUATEDZONE_H
