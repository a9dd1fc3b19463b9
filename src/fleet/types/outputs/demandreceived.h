#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_DEMANDRECEIVED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_DEMANDRECEIVED_H

#include "capacity/types/demandupdate.h"

namespace cranberryspool::fleet {

/// A running instance of the peer group has told its demand. The figures have
/// not been checked.
struct DemandReceived {
  capacity::DemandUpdate Update_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_DEMANDRECEIVED_H
