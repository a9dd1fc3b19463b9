#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_EXTRAATTEMPTLIMIT_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_EXTRAATTEMPTLIMIT_H

#include "framework/time.h"

namespace cranberryspool::decision {

/// This instance's share of a bound on extra attempts that is stated for the
/// sum over all instances and any window of a given length.
struct ExtraWindow {
  framework::Duration Length_{};
  /// Extra attempts for each call to the service.
  double Ratio_ = 0;
  /// Extra attempts besides.
  double Slack_ = 0;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_EXTRAATTEMPTLIMIT_H
