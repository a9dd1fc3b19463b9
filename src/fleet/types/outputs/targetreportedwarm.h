#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_TARGETREPORTEDWARM_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_TARGETREPORTEDWARM_H

#include "framework/ids.h"

namespace cranberryspool::fleet {

/// Reports that a peer knows a target to be warm.
struct TargetReportedWarm {
  framework::TargetName Target_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_TARGETREPORTEDWARM_H
