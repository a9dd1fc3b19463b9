#ifndef CRANBERRYSPOOL_ROUTING_POLICIES_HOTCOLDPOLICY_H
#define CRANBERRYSPOOL_ROUTING_POLICIES_HOTCOLDPOLICY_H

#include "routing/loadbalancingpolicy.h"

namespace cranberryspool::routing {

/// Hot/cold lexicographic selection from a small random sample: of the targets
/// that have a free slot, the one with the lowest latency; otherwise the one
/// with the fewest requests in flight ("Load is not what you should balance:
/// Introducing Prequal", NSDI 2024). Unlike in the paper, load reports arrive
/// with responses instead of probes.
class HotColdPolicy {
public:
  std::optional<std::size_t> choose(const Candidates &From,
                                    framework::Random &Rng) const;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_POLICIES_HOTCOLDPOLICY_H
