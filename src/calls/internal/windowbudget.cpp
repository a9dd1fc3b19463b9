#include "calls/windowbudget.h"

namespace cranberryspool::calls {

void WindowBudget::recordCall(framework::Instant Now) {
  removeExpired(Now);
  Calls_.push_back(Now);
}

bool WindowBudget::tryReserve(double Ratio, double Slack,
                              framework::Instant Now) {
  removeExpired(Now);
  const double Allowed = Ratio * static_cast<double>(Calls_.size()) + Slack;
  if (static_cast<double>(ExtraAttempts_.size() + Reserved_) + 1 > Allowed)
    return false;
  ++Reserved_;
  return true;
}

void WindowBudget::recordSent(framework::Instant Now) {
  --Reserved_;
  ExtraAttempts_.push_back(Now);
}

BudgetUse WindowBudget::use(double Slack, framework::Instant Now) {
  removeExpired(Now);
  return {Calls_.size(), ExtraAttempts_.size() + Reserved_, Slack};
}

void WindowBudget::removeExpired(framework::Instant Now) {
  while (!Calls_.empty() && Calls_.front() + Window_ <= Now)
    Calls_.pop_front();
  while (!ExtraAttempts_.empty() && ExtraAttempts_.front() + Window_ <= Now)
    ExtraAttempts_.pop_front();
}

} // namespace cranberryspool::calls
