#ifndef CRANBERRYSPOOL_CALLS_WINDOWBUDGET_H
#define CRANBERRYSPOOL_CALLS_WINDOWBUDGET_H

#include "framework/time.h"

#include <cstdint>
#include <deque>

namespace cranberryspool::calls {

/// Bounds attempts beyond the first of each call to a fraction of the calls of
/// a sliding window plus a fixed number. Used where the bound is stated for
/// any window of a given length.
class WindowBudget {
public:
  explicit WindowBudget(framework::Duration Window) : Window_(Window) {}

  void recordCall(framework::Instant Now);
  /// Takes an extra attempt while those of the window stay below `Ratio` times
  /// its calls plus `Slack`.
  bool tryTake(double Ratio, double Slack, framework::Instant Now);

private:
  void expire(framework::Instant Now);

  framework::Duration Window_;
  std::deque<framework::Instant> Calls_;
  std::deque<framework::Instant> Extra_;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_WINDOWBUDGET_H
