#ifndef CRANBERRYSPOOL_ROUTING_POLICIES_AFFINITYPOLICY_H
#define CRANBERRYSPOOL_ROUTING_POLICIES_AFFINITYPOLICY_H

#include "framework/time.h"
#include "routing/choicepolicy.h"

namespace cranberryspool::routing {

/// What the affinity policy weighs.
struct AffinitySettings {
  /// Candidates that are compared for one choice; all when there are no more.
  std::size_t Samples_ = 64;
  /// Added to the expected time at a target of another availability zone: the
  /// way there and back, and a part of the mean time of an answer.
  framework::Duration ZoneDelay_ = std::chrono::milliseconds(2);
  double ZoneCost_ = 0.2;
  /// Added per unit of ring distance, in mean times of an answer.
  double DistanceCost_ = 0.5;
};

/// The least expected time among the candidates, by this instance's own
/// attempts in flight and by how fast the target has lately worked on them.
///
/// Few slots are shared by many instances, so that one instance's attempts say
/// little of a target that all use alike. Each instance therefore prefers the
/// targets of its availability zone and those near it on the ring, by a cost
/// that yields as soon as they are busier than others. Its own attempts are
/// then a large part of those targets' work, and it sees at once when one slows
/// down. No report and no word of a peer is needed.
class AffinityPolicy {
public:
  explicit AffinityPolicy(AffinitySettings Settings = {})
      : Settings_(Settings) {}

  std::optional<std::size_t> choose(const Candidates &From,
                                    framework::Random &Rng) const;

  /// The expected time in microseconds of one more attempt at the candidate.
  double expectedMicros(const Candidates &From, std::size_t Position) const;

private:
  AffinitySettings Settings_;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_POLICIES_AFFINITYPOLICY_H
