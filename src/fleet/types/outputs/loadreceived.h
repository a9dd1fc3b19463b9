#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_LOADRECEIVED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_LOADRECEIVED_H

#include "framework/ids.h"
#include "framework/time.h"
#include "routing/types/loadreport.h"

namespace cranberryspool::fleet {

/// A neighbour has told the load of a target.
struct LoadReceived {
  framework::TargetName Target_;
  routing::LoadReport Report_;
  framework::Instant SeenAt_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_LOADRECEIVED_H
