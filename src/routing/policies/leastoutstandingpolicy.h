#ifndef CRANBERRYSPOOL_ROUTING_POLICIES_LEASTOUTSTANDINGPOLICY_H
#define CRANBERRYSPOOL_ROUTING_POLICIES_LEASTOUTSTANDINGPOLICY_H

#include "routing/choicepolicy.h"

namespace cranberryspool::routing {

/// The candidate with the fewest attempts of this instance in flight; a
/// baseline. Compares all candidates, so that it is not meant for production.
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
