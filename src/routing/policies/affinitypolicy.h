#ifndef CRANBERRYSPOOL_ROUTING_POLICIES_AFFINITYPOLICY_H
#define CRANBERRYSPOOL_ROUTING_POLICIES_AFFINITYPOLICY_H

#include "framework/time.h"
#include "routing/loadbalancingpolicy.h"

namespace cranberryspool::routing {

/// The parameters of the affinity policy.
struct AffinitySettings {
  /// The number of candidates that are compared for one selection, or all when
  /// there are no more.
  std::size_t SampleSize_ = 64;
  /// Costs added for a target in another availability zone: the network round
  /// trip, and a fraction of the mean response time.
  framework::Duration CrossZoneRoundTrip_ = std::chrono::milliseconds(2);
  double CrossZoneCost_ = 0.2;
  /// The cost per unit of ring distance, as a fraction of the mean response
  /// time.
  double RingDistanceCost_ = 0.5;
};

/// Selects the candidate with the lowest expected latency, computed from this
/// instance's own attempts in flight and the recent latency of the target.
///
/// Many instances share the few slots of a target, so that the attempts of one
/// instance say little about a target that all instances use equally. Each
/// instance therefore prefers the targets of its availability zone and those
/// close to it on the ring. The preference is a cost, which is outweighed as
/// soon as these targets are busier than others. The instance's own attempts
/// are then a large part of the preferred targets' load, and it detects at once
/// when one of them slows down. The policy needs neither load reports nor
/// messages of other instances.
class AffinityPolicy {
public:
  explicit AffinityPolicy(AffinitySettings Settings = {})
      : Settings_(Settings) {}

  std::optional<std::size_t> choose(const Candidates &From,
                                    framework::Random &Rng) const;

  /// Returns the expected latency in microseconds of one more attempt at the
  /// candidate.
  double expectedLatencyMicros(const Candidates &From,
                               std::size_t Position) const;

private:
  AffinitySettings Settings_;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_POLICIES_AFFINITYPOLICY_H
