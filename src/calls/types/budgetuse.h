#ifndef CRANBERRYSPOOL_CALLS_TYPES_BUDGETUSE_H
#define CRANBERRYSPOOL_CALLS_TYPES_BUDGETUSE_H

#include <cstddef>

namespace cranberryspool::calls {

/// How much of a service's budget of extra attempts this instance has used.
struct BudgetUse {
  /// The calls in the window, by which the budget grows.
  std::size_t Calls_ = 0;
  /// The extra attempts in the window, with those that are granted.
  std::size_t Extras_ = 0;
  /// The share of the number that is allowed independent of the calls.
  double Slack_ = 0;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_BUDGETUSE_H
