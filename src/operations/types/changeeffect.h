#ifndef CRANBERRYSPOOL_OPERATIONS_TYPES_CHANGEEFFECT_H
#define CRANBERRYSPOOL_OPERATIONS_TYPES_CHANGEEFFECT_H

#include <string_view>

namespace cranberryspool::operations {

/// What follows from a change beyond the new value.
enum class ChangeEffect {
  None,
  /// Targets get no new work, running work ends.
  StopsNewWork,
  /// Targets get work, cold ones within their budget.
  StartsNewWork,
  /// Calls that matched are refused from now on.
  RefusesCalls,
  /// Calls that were refused are now taken.
  AcceptsCalls,
  /// Calls may now run more than once.
  AllowsRepeats,
  /// No target of the service gets new work any more.
  LeavesServiceWithoutZone
};

/// Returns the effect as a short sentence; empty for none.
std::string_view effectText(ChangeEffect Effect);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_TYPES_CHANGEEFFECT_H
