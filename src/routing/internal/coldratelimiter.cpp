#include "routing/internal/coldratelimiter.h"

#include <algorithm>

namespace cranberryspool::routing {

namespace {

using framework::Duration;
using framework::Instant;

/// The capacity of the bucket, in requests.
constexpr double Burst = 1;

} // namespace

void ColdRateLimiter::start(Instant Now) {
  Tokens_ = 0;
  RefilledAt_ = Now;
}

bool ColdRateLimiter::canAcquire(double Rate, Instant Now) const {
  return availableTokens(Rate, Now) >= 1;
}

void ColdRateLimiter::acquire(double Rate, Instant Now) {
  Tokens_ = availableTokens(Rate, Now) - 1;
  RefilledAt_ = Now;
}

std::optional<Instant> ColdRateLimiter::nextAvailability(double Rate,
                                                         Instant Now) {
  const double MissingTokens = 1 - availableTokens(Rate, Now);
  if (MissingTokens <= 0)
    return std::nullopt;
  const auto Wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(MissingTokens / Rate));
  const Instant At = Now + Wait + Duration(1);
  if (TimerAt_ > Now && TimerAt_ <= At)
    return std::nullopt;
  TimerAt_ = At;
  return At;
}

double ColdRateLimiter::availableTokens(double Rate, Instant Now) const {
  const double Seconds =
      std::chrono::duration<double>(Now - RefilledAt_).count();
  return std::min(Burst, Tokens_ + Rate * Seconds);
}

} // namespace cranberryspool::routing
