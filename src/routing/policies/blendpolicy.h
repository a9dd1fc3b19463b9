#ifndef CRANBERRYSPOOL_ROUTING_POLICIES_BLENDPOLICY_H
#define CRANBERRYSPOOL_ROUTING_POLICIES_BLENDPOLICY_H

#include "framework/time.h"
#include "routing/loadbalancingpolicy.h"

namespace cranberryspool::routing {

/// The parameters of the blend policy.
struct BlendSettings {
  /// The number of candidates that are compared for one selection.
  std::size_t SampleSize_ = 3;
  /// The cost added for a target in another availability zone.
  framework::Duration CrossZoneCost_ = std::chrono::milliseconds(1);
  /// The age at which the weight of a load report or of the other instances'
  /// attempts has fallen to one half.
  framework::Duration HalfLife_ = std::chrono::milliseconds(100);
};

/// Power of d choices ("The power of two choices in randomized load balancing",
/// Mitzenmacher 2001) by the expected latency at the target. The latency is
/// computed from this instance's attempts in flight and their ages, load
/// reports weighted by age, and the attempts of the other instances.
class BlendPolicy {
public:
  explicit BlendPolicy(BlendSettings Settings) : Settings_(Settings) {}

  std::optional<std::size_t> choose(const Candidates &From,
                                    framework::Random &Rng) const;

  /// Returns the expected latency in microseconds of one more attempt at the
  /// candidate.
  double expectedLatencyMicros(const Candidates &From,
                               std::size_t Position) const;

private:
  BlendSettings Settings_;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_POLICIES_BLENDPOLICY_H
