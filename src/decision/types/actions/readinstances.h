#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_READINSTANCES_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_READINSTANCES_H

#include "framework/ids.h"
#include "framework/time.h"

#include <optional>

namespace cranberryspool::decision {

/// Read the platform's instance list, or watch it for a revision newer than the
/// given one. Answered by exactly one of `InstancesPublished`,
/// `InstancesUnchanged` and `InstancesUnavailable`.
struct ReadInstances {
  std::optional<framework::Revision> NewerThan_;
  /// How long the platform may delay its answer while there is no newer
  /// revision; zero for a plain read.
  framework::Duration Wait_{};
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_READINSTANCES_H
