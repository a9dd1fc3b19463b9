#ifndef CRANBERRYSPOOL_ROUTING_POLICIES_ROUNDROBINPOLICY_H
#define CRANBERRYSPOOL_ROUTING_POLICIES_ROUNDROBINPOLICY_H

#include "routing/choicepolicy.h"

#include <vector>

namespace cranberryspool::routing {

/// The candidates of each service in turn; a baseline.
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
  /// By the value of the service's id.
  std::vector<std::size_t> Cursors_;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_POLICIES_ROUNDROBINPOLICY_H
