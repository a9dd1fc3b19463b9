#ifndef CRANBERRYSPOOL_ROUTING_INTERNAL_COLDALLOWANCE_H
#define CRANBERRYSPOOL_ROUTING_INTERNAL_COLDALLOWANCE_H

#include "framework/time.h"

#include <optional>

namespace cranberryspool::routing {

/// The requests that this instance may send to one cold target with a bound on
/// its rate (a token bucket). Rates are in requests a second, above zero.
class ColdAllowance {
public:
  /// A cold start began; nothing has accumulated yet.
  void start(framework::Instant Now);
  /// True once a cold start has begun.
  bool isStarted() const { return FilledAt_ != framework::Instant{}; }

  bool mayTake(double Rate, framework::Instant Now) const;
  void take(double Rate, framework::Instant Now);

  /// Returns when the next request may be sent, if a timer has to be set for
  /// it: not when one may be sent now or an earlier timer is set.
  std::optional<framework::Instant> wakeUp(double Rate, framework::Instant Now);

private:
  double available(double Rate, framework::Instant Now) const;

  /// At `FilledAt_`.
  double Tokens_ = 0;
  framework::Instant FilledAt_{};
  /// As far as a timer is set.
  framework::Instant WakeAt_{};
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_INTERNAL_COLDALLOWANCE_H
