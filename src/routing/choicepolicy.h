#ifndef CRANBERRYSPOOL_ROUTING_CHOICEPOLICY_H
#define CRANBERRYSPOOL_ROUTING_CHOICEPOLICY_H

#include "framework/random.h"
#include "routing/candidates.h"

#include <concepts>
#include <cstddef>
#include <optional>

namespace cranberryspool::routing {

/// A way to choose one of the targets that may take an attempt. `choose`
/// returns a position in the candidates, or nothing when the attempt had better
/// wait in this instance. It must not return an excluded position, and it costs
/// at most O(log n). All other rules (leaving, ejected and cold targets) are
/// applied before by `TargetTable`.
template <typename Policy>
concept ChoicePolicy = requires(Policy P, const Candidates &From,
                                framework::Random &Rng) {
  { P.choose(From, Rng) } -> std::same_as<std::optional<std::size_t>>;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_CHOICEPOLICY_H
