#ifndef CRANBERRYSPOOL_CALLS_WINDOWBUDGET_H
#define CRANBERRYSPOOL_CALLS_WINDOWBUDGET_H

#include "calls/types/budgetuse.h"
#include "framework/time.h"

#include <cstddef>
#include <deque>

namespace cranberryspool::calls {

/// Limits the extra attempts of all calls, beyond the first of each, to a
/// fraction of the calls in a sliding window plus a fixed number. Used where
/// the limit applies to every window of a given length. An extra attempt is
/// reserved when it is granted and counts in the window in which it is sent.
class WindowBudget {
public:
  explicit WindowBudget(framework::Duration Window) : Window_(Window) {}

  void recordCall(framework::Instant Now);
  /// Reserves an extra attempt. Returns false when the window would then
  /// contain more extra attempts, reserved ones included, than `Ratio` times
  /// its calls plus `Slack`.
  bool tryReserve(double Ratio, double Slack, framework::Instant Now);
  /// Records that a reserved attempt is sent.
  void recordSent(framework::Instant Now);
  /// Gives back a reservation whose attempt will not be sent.
  void release() { --Reserved_; }
  /// Returns the calls and the extra attempts, reserved ones included, in the
  /// window. `Slack` is reported as given.
  BudgetUse use(double Slack, framework::Instant Now);

private:
  void removeExpired(framework::Instant Now);

  framework::Duration Window_;
  std::deque<framework::Instant> Calls_;
  std::deque<framework::Instant> ExtraAttempts_;
  std::size_t Reserved_ = 0;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_WINDOWBUDGET_H
