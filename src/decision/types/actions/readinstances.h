#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_READINSTANCES_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_READINSTANCES_H

#include "framework/ids.h"

#include <optional>

namespace cranberryspool::decision {

/// Read the platform's list, or watch it for a revision above the given one.
/// Answered by `InstancesPublished` or `InstancesUnavailable`.
struct ReadInstances {
  std::optional<framework::Revision> NewerThan_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_READINSTANCES_H
