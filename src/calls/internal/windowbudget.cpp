#include "calls/windowbudget.h"

namespace cranberryspool::calls {

void WindowBudget::recordCall(framework::Instant Now) {
  expire(Now);
  Calls_.push_back(Now);
}

bool WindowBudget::tryTake(double Ratio, double Slack, framework::Instant Now) {
  expire(Now);
  const double Allowed = Ratio * static_cast<double>(Calls_.size()) + Slack;
  if (static_cast<double>(Extra_.size()) + 1 > Allowed)
    return false;
  Extra_.push_back(Now);
  return true;
}

void WindowBudget::expire(framework::Instant Now) {
  while (!Calls_.empty() && Calls_.front() + Window_ <= Now)
    Calls_.pop_front();
  while (!Extra_.empty() && Extra_.front() + Window_ <= Now)
    Extra_.pop_front();
}

} // namespace cranberryspool::calls
