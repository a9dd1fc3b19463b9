#include "routing/internal/coldallowance.h"

#include <algorithm>

namespace cranberryspool::routing {

namespace {

using framework::Duration;
using framework::Instant;

/// Requests that may follow each other at once.
constexpr double Burst = 1;

} // namespace

void ColdAllowance::start(Instant Now) {
  Tokens_ = 0;
  FilledAt_ = Now;
}

bool ColdAllowance::mayTake(double Rate, Instant Now) const {
  return available(Rate, Now) >= 1;
}

void ColdAllowance::take(double Rate, Instant Now) {
  Tokens_ = available(Rate, Now) - 1;
  FilledAt_ = Now;
}

std::optional<Instant> ColdAllowance::wakeUp(double Rate, Instant Now) {
  const double Missing = 1 - available(Rate, Now);
  if (Missing <= 0)
    return std::nullopt;
  const auto Wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Missing / Rate));
  const Instant At = Now + Wait + Duration(1);
  if (WakeAt_ > Now && WakeAt_ <= At)
    return std::nullopt;
  WakeAt_ = At;
  return At;
}

double ColdAllowance::available(double Rate, Instant Now) const {
  const double Seconds = std::chrono::duration<double>(Now - FilledAt_).count();
  return std::min(Burst, Tokens_ + Rate * Seconds);
}

} // namespace cranberryspool::routing
