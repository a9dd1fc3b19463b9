#ifndef CRANBERRYSPOOL_ROUTING_INTERNAL_TOKENBUCKET_H
#define CRANBERRYSPOOL_ROUTING_INTERNAL_TOKENBUCKET_H

#include "framework/time.h"
#include "routing/internal/rateshare.h"

#include <optional>

namespace cranberryspool::routing {

/// Limits the rate of this instance's requests to one target. Each request
/// takes a token. The share may differ from call to call; its rate is above
/// zero.
class TokenBucket {
public:
  /// Empties the bucket and begins to fill it.
  void start(framework::Instant Now);
  /// Returns true once the bucket has been started.
  bool hasStarted() const { return RefilledAt_ != framework::Instant{}; }

  bool canAcquire(const RateShare &Share, framework::Instant Now) const;
  void acquire(const RateShare &Share, framework::Instant Now);

  /// Returns the time at which the next request may be sent, if a timer has to
  /// be set for it. Returns nothing when a request may be sent now, or when a
  /// timer is already set that is not later.
  std::optional<framework::Instant> nextAvailability(const RateShare &Share,
                                                     framework::Instant Now);

private:
  double availableTokens(const RateShare &Share, framework::Instant Now) const;

  /// The tokens that were available at `RefilledAt_`.
  double Tokens_ = 0;
  framework::Instant RefilledAt_{};
  /// The time of the last timer that `nextAvailability` asked for.
  framework::Instant TimerAt_{};
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_INTERNAL_TOKENBUCKET_H
