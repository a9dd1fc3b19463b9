#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_PROBETARGET_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_PROBETARGET_H

#include "framework/ids.h"

#include <string>

namespace cranberryspool::decision {

/// Query the load of a target. Answered by `ProbeAnswered` or `ProbeFailed`.
struct ProbeTarget {
  framework::ProbeId Probe_;
  framework::TargetId Target_;
  std::string Address_;
  /// The path of the target's health check; empty for the default.
  std::string Path_ = {};
  framework::TargetName TargetName_ = {};
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_PROBETARGET_H
