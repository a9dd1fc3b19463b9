#ifndef CRANBERRYSPOOL_ROUTING_POLICIES_LEASTOUTSTANDINGPOLICY_H
#define CRANBERRYSPOOL_ROUTING_POLICIES_LEASTOUTSTANDINGPOLICY_H

#include "routing/loadbalancingpolicy.h"

namespace cranberryspool::routing {

/// Selects the candidate with the fewest attempts of this instance in flight.
/// A baseline for comparisons, not meant for production, because it examines
/// all candidates.
class LeastOutstandingPolicy {
public:
  std::optional<std::size_t> choose(const Candidates &From,
                                    framework::Random &Rng) const {
    if (From.size() == 0)
      return std::nullopt;
    const std::size_t Start = Rng.index(From.size());
    std::optional<std::size_t> Best;
    for (std::size_t Step = 0; Step < From.size(); ++Step) {
      const std::size_t Position = (Start + Step) % From.size();
      if (From.isExcluded(Position))
        continue;
      if (!Best || From.state(Position).InFlight_ < From.state(*Best).InFlight_)
        Best = Position;
    }
    return Best;
  }
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_POLICIES_LEASTOUTSTANDINGPOLICY_H
