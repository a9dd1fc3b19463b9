#ifndef CRANBERRYSPOOL_CALLS_WINDOWBUDGET_H
#define CRANBERRYSPOOL_CALLS_WINDOWBUDGET_H

#include "framework/time.h"

#include <cstdint>
#include <deque>

namespace cranberryspool::calls {

/// Limits the extra attempts of all calls, beyond the first of each, to a
/// fraction of the calls in a sliding window plus a fixed number. Used where
/// the limit applies to every window of a given length.
class WindowBudget {
public:
  explicit WindowBudget(framework::Duration Window) : Window_(Window) {}

  void recordCall(framework::Instant Now);
  /// Takes an extra attempt from the budget. Returns false when the window
  /// would then contain more extra attempts than `Ratio` times its calls plus
  /// `Slack`.
  bool tryTake(double Ratio, double Slack, framework::Instant Now);

private:
  void removeExpired(framework::Instant Now);

  framework::Duration Window_;
  std::deque<framework::Instant> Calls_;
  std::deque<framework::Instant> ExtraAttempts_;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_WINDOWBUDGET_H
