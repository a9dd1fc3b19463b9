#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_EXTRAATTEMPTLIMIT_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_EXTRAATTEMPTLIMIT_H

#include "framework/time.h"

namespace cranberryspool::decision {

/// This instance's share of the fleet-wide limit on extra attempts. The limit
/// applies to the sum over all instances in any window of the given length.
struct ExtraAttemptLimit {
  framework::Duration Length_{};
  /// Extra attempts allowed per call to the service.
  double Ratio_ = 0;
  /// Extra attempts allowed in addition, independent of the number of calls.
  double Slack_ = 0;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_EXTRAATTEMPTLIMIT_H
