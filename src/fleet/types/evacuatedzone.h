#ifndef CRANBERRYSPOOL_FLEET_TYPES_EVACUATEDZONE_H
#define CRANBERRYSPOOL_FLEET_TYPES_EVACUATEDZONE_H

#include "framework/ids.h"

namespace cranberryspool::fleet {

/// An availability zone whose targets must receive no new calls, by order of
/// the operators.
struct EvacuatedZone {
  framework::ZoneName Zone_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_EVACUATEDZONE_H
