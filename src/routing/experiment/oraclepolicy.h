#ifndef CRANBERRYSPOOL_ROUTING_EXPERIMENT_ORACLEPOLICY_H
#define CRANBERRYSPOOL_ROUTING_EXPERIMENT_ORACLEPOLICY_H

#include "routing/loadbalancingpolicy.h"

namespace cranberryspool::experiment {

/// Selects the best of all candidates by their true state, which `Truth`
/// provides: an upper bound for comparisons, not meant for production. Uses the
/// true queue length of each target and, with `KnowsSpeed`, its true speed.
template <typename Truth, bool KnowsSpeed> class OraclePolicy {
public:
  explicit OraclePolicy(const Truth &Source) : Source_(&Source) {}

  std::optional<std::size_t> choose(const routing::Candidates &From,
                                    framework::Random &Rng) const {
    if (From.size() == 0)
      return std::nullopt;
    const std::size_t Start = Rng.index(From.size());
    std::optional<std::size_t> Best;
    double BestCost = 0;
    for (std::size_t Step = 0; Step < From.size(); ++Step) {
      const std::size_t Position = (Start + Step) % From.size();
      if (From.isExcluded(Position))
        continue;
      const double Cost = cost(From, Position);
      if (Best && Cost >= BestCost)
        continue;
      Best = Position;
      BestCost = Cost;
    }
    return Best;
  }

private:
  /// Returns the cost in units of the mean service time.
  double cost(const routing::Candidates &From, std::size_t Position) const {
    constexpr double ZoneCost = 0.01;
    const auto Target = From.target(Position);
    const double Slots = Source_->slots(Target);
    const double Work = Source_->outstanding(Target) + 1.0;
    const double Wait = Work > Slots ? (Work - Slots) / Slots : 0;
    const double Zone = From.state(Position).IsInLocalZone_ ? 0 : ZoneCost;
    // Of two targets with free slots, the one with fewer requests is better.
    const double Fullness = ZoneCost * Work / Slots;
    if constexpr (KnowsSpeed)
      return (Wait + 1) / Source_->speed(Target) + Zone + Fullness;
    return Wait + Zone + Fullness;
  }

  const Truth *Source_;
};

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_ROUTING_EXPERIMENT_ORACLEPOLICY_H
