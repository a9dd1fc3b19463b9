#ifndef CRANBERRYSPOOL_ROUTING_POLICIES_BLENDPOLICY_H
#define CRANBERRYSPOOL_ROUTING_POLICIES_BLENDPOLICY_H

#include "framework/time.h"
#include "routing/choicepolicy.h"

namespace cranberryspool::routing {

/// What a blend of signals is weighed by.
struct BlendSettings {
  /// Candidates that are compared for one choice.
  std::size_t Samples_ = 3;
  /// Added to the expected time at a target of another availability zone.
  framework::Duration ZoneCost_ = std::chrono::milliseconds(1);
  /// The age at which a report or the word of peers counts half.
  framework::Duration HalfLife_ = std::chrono::milliseconds(100);
};

/// Power of d choices ("The power of two choices in randomized load balancing",
/// Mitzenmacher 2001) by an expected time at the target, from this instance's
/// attempts in flight and their ages, aged load reports and the attempts of the
/// other instances.
class BlendPolicy {
public:
  explicit BlendPolicy(BlendSettings Settings) : Settings_(Settings) {}

  std::optional<std::size_t> choose(const Candidates &From,
                                    framework::Random &Rng) const;

  /// The expected time in microseconds of one more attempt at the candidate.
  double expectedMicros(const Candidates &From, std::size_t Position) const;

private:
  BlendSettings Settings_;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_POLICIES_BLENDPOLICY_H
