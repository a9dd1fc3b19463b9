#ifndef CRANBERRYSPOOL_ROUTING_LOADBALANCINGPOLICY_H
#define CRANBERRYSPOOL_ROUTING_LOADBALANCINGPOLICY_H

#include "framework/random.h"
#include "routing/candidates.h"

#include <concepts>
#include <cstddef>
#include <optional>

namespace cranberryspool::routing {

/// A load-balancing policy selects one of the targets that are eligible for an
/// attempt. `choose` returns a position in the candidates, or nothing when the
/// attempt should wait in this instance. It must not return an excluded
/// position and must cost at most O(log n). `TargetTable` applies all other
/// rules (leaving, ejected and cold targets) beforehand.
template <typename Policy>
concept LoadBalancingPolicy = requires(Policy P, const Candidates &From,
                                       framework::Random &Rng) {
  { P.choose(From, Rng) } -> std::same_as<std::optional<std::size_t>>;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_LOADBALANCINGPOLICY_H
