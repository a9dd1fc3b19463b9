#ifndef CRANBERRYSPOOL_ROUTING_INTERNAL_COLDRATELIMITER_H
#define CRANBERRYSPOOL_ROUTING_INTERNAL_COLDRATELIMITER_H

#include "framework/time.h"

#include <optional>

namespace cranberryspool::routing {

/// A token bucket that limits the rate of this instance's requests to one cold
/// target. Rates are in requests per second and above zero.
class ColdRateLimiter {
public:
  /// Begins a cold start with an empty bucket.
  void start(framework::Instant Now);
  /// Returns true once a cold start has begun.
  bool hasStarted() const { return RefilledAt_ != framework::Instant{}; }

  bool canAcquire(double Rate, framework::Instant Now) const;
  void acquire(double Rate, framework::Instant Now);

  /// Returns the time at which the next request may be sent, if a timer has to
  /// be set for it. Returns nothing when a request may be sent now, or when a
  /// timer is already set that is not later.
  std::optional<framework::Instant> nextAvailability(double Rate,
                                                     framework::Instant Now);

private:
  double availableTokens(double Rate, framework::Instant Now) const;

  /// The tokens that were available at `RefilledAt_`.
  double Tokens_ = 0;
  framework::Instant RefilledAt_{};
  /// The time of the last timer that `nextAvailability` asked for.
  framework::Instant TimerAt_{};
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_INTERNAL_COLDRATELIMITER_H
