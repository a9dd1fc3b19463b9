#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_LOADRECEIVED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_LOADRECEIVED_H

#include "framework/ids.h"
#include "framework/time.h"
#include "routing/types/loadreport.h"

namespace cranberryspool::fleet {

/// Another instance has forwarded a load report of a target.
struct LoadReceived {
  framework::TargetName Target_;
  routing::LoadReport Report_;
  /// When the other instance received the report, by this instance's clock.
  framework::Instant ReceivedAt_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_LOADRECEIVED_H
