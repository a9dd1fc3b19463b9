#ifndef CRANBERRYSPOOL_FLEET_TYPES_SHAREDLOAD_H
#define CRANBERRYSPOOL_FLEET_TYPES_SHAREDLOAD_H

#include "framework/ids.h"
#include "framework/time.h"
#include "routing/types/loadreport.h"

namespace cranberryspool::fleet {

/// A load report of a target that an instance has just received.
struct SharedLoad {
  framework::TargetName Target_;
  routing::LoadReport Report_;
  /// Since the instance received it.
  framework::Duration Age_{};

  friend bool operator==(const SharedLoad &, const SharedLoad &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_SHAREDLOAD_H
