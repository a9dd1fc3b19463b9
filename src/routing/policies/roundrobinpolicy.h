#ifndef CRANBERRYSPOOL_ROUTING_POLICIES_ROUNDROBINPOLICY_H
#define CRANBERRYSPOOL_ROUTING_POLICIES_ROUNDROBINPOLICY_H

#include "routing/loadbalancingpolicy.h"

#include <vector>

namespace cranberryspool::routing {

/// Selects the candidates of each service in turn. A baseline for comparisons.
class RoundRobinPolicy {
public:
  std::optional<std::size_t> choose(const Candidates &From,
                                    framework::Random &Rng) {
    const auto Service = From.request().Service_.value();
    while (Cursors_.size() <= Service)
      Cursors_.push_back(static_cast<std::size_t>(Rng.bits() >> 32U));
    for (std::size_t Step = 0; Step < From.size(); ++Step) {
      const std::size_t Position = Cursors_[Service]++ % From.size();
      if (!From.isExcluded(Position))
        return Position;
    }
    return std::nullopt;
  }

private:
  /// The next position for each service, indexed by service id.
  std::vector<std::size_t> Cursors_;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_POLICIES_ROUNDROBINPOLICY_H
