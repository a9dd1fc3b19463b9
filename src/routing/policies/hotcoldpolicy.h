#ifndef CRANBERRYSPOOL_ROUTING_POLICIES_HOTCOLDPOLICY_H
#define CRANBERRYSPOOL_ROUTING_POLICIES_HOTCOLDPOLICY_H

#include "routing/choicepolicy.h"

namespace cranberryspool::routing {

/// Hot/cold lexicographic choice among a few samples: of those whose requests
/// in flight leave a slot free the one with the lowest latency, else the one
/// with the fewest in flight ("Load is not what you should balance: Introducing
/// Prequal", NSDI 2024). The reports ride on answers instead of on probes.
class HotColdPolicy {
public:
  std::optional<std::size_t> choose(const Candidates &From,
                                    framework::Random &Rng) const;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_POLICIES_HOTCOLDPOLICY_H
