#ifndef CRANBERRYSPOOL_OPERATIONS_TYPES_CHANGEEFFECT_H
#define CRANBERRYSPOOL_OPERATIONS_TYPES_CHANGEEFFECT_H

#include <string_view>

namespace cranberryspool::operations {

/// Consequence of a change for calls and targets.
enum class ChangeEffect {
  None,
  /// The targets receive no new calls; calls in progress are completed.
  StopsNewCalls,
  /// The targets receive calls, cold targets within their cold start limits.
  StartsNewCalls,
  /// Calls that matched before are now refused.
  RefusesCalls,
  /// Calls that were refused before are now accepted.
  AcceptsCalls,
  /// The targets may now execute a call more than once.
  AllowsRepeatedExecution,
  /// No target of the service receives new calls any more.
  LeavesServiceWithoutZone,
  /// Requests with the added keys are served.
  AcceptsKeys,
  /// Requests with the removed keys are refused.
  RefusesKeys,
  /// Requests without a key, which were refused before, are served.
  ServesWithoutKey,
  /// Requests without a key, which were served before, are refused.
  RequiresKey
};

/// Returns a short description of the effect; empty for `None`.
std::string_view effectText(ChangeEffect Effect);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_TYPES_CHANGEEFFECT_H
