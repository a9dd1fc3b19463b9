#ifndef CRANBERRYSPOOL_QUOTAS_TYPES_QUOTASETTINGS_H
#define CRANBERRYSPOOL_QUOTAS_TYPES_QUOTASETTINGS_H

#include "framework/ids.h"
#include "framework/time.h"

#include <cstddef>

namespace cranberryspool::quotas {

/// The identity of an instance and the bound on the requests of a workspace:
/// in any window, at most (rate x window + burst) x (1 + overage) + tolerance
/// run, summed over all instances.
struct QuotaSettings {
  framework::InstanceName Self_;
  /// The start time of the process, so that a later start has a higher number.
  framework::Incarnation Incarnation_;
  framework::Duration Window_ = std::chrono::seconds(5);
  double Overage_ = 0.25;
  double Tolerance_ = 20;
  /// The number of instances that are expected to run, if the deployment tells.
  /// Without it, an instance that starts and hears nobody takes itself for the
  /// whole fleet.
  std::size_t ExpectedInstances_ = 1;
};

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_TYPES_QUOTASETTINGS_H
