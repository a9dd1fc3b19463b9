#ifndef CRANBERRYSPOOL_ROUTING_POLICIES_RANDOMPOLICY_H
#define CRANBERRYSPOOL_ROUTING_POLICIES_RANDOMPOLICY_H

#include "routing/loadbalancingpolicy.h"
#include "routing/sampling.h"

namespace cranberryspool::routing {

/// Selects each candidate with the same probability. A baseline for
/// comparisons.
class RandomPolicy {
public:
  std::optional<std::size_t> choose(const Candidates &From,
                                    framework::Random &Rng) const {
    return sampleAllowed(From, Rng);
  }
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_POLICIES_RANDOMPOLICY_H
