#ifndef CRANBERRYSPOOL_FLEET_TYPES_TARGETLOAD_H
#define CRANBERRYSPOOL_FLEET_TYPES_TARGETLOAD_H

#include "framework/ids.h"
#include "framework/time.h"
#include "routing/types/loadreport.h"

namespace cranberryspool::fleet {

/// A load report of a target, as forwarded between instances.
struct TargetLoad {
  framework::TargetName Target_;
  routing::LoadReport Report_;
  /// The time since an instance received the report from the target.
  framework::Duration Age_{};

  friend bool operator==(const TargetLoad &, const TargetLoad &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_TARGETLOAD_H
