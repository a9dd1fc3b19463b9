#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_TARGETREPORTEDCOLD_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_TARGETREPORTEDCOLD_H

#include "framework/ids.h"

namespace cranberryspool::fleet {

/// Reports that a peer saw a restart of a target, which must be treated as
/// cold.
struct TargetReportedCold {
  framework::TargetName Target_;
  framework::Incarnation StartId_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_TARGETREPORTEDCOLD_H
