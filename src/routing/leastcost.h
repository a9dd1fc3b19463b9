#ifndef CRANBERRYSPOOL_ROUTING_LEASTCOST_H
#define CRANBERRYSPOOL_ROUTING_LEASTCOST_H

#include "routing/sampling.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace cranberryspool::routing {

/// Returns the position with the least `Cost(Position)` among `Samples` random
/// candidates, or among all when there are no more than that; ties go to the
/// one met first from a random start. Nothing when all are excluded.
template <typename CostFunction>
std::optional<std::size_t>
leastCost(const Candidates &From, std::size_t Samples, framework::Random &Rng,
          const CostFunction &Cost) {
  const std::size_t Count = From.size();
  if (Count == 0)
    return std::nullopt;
  const bool ComparesAll = Count <= Samples;
  const std::size_t Start = ComparesAll ? Rng.index(Count) : 0;
  std::optional<std::size_t> Best;
  double BestCost = 0;
  for (std::size_t Sample = 0; Sample < std::min(Samples, Count); ++Sample) {
    const std::size_t Position =
        ComparesAll ? (Start + Sample) % Count : Rng.index(Count);
    if (From.isExcluded(Position))
      continue;
    const double Found = Cost(Position);
    if (Best && Found >= BestCost)
      continue;
    Best = Position;
    BestCost = Found;
  }
  return Best ? Best : sampleAllowed(From, Rng);
}

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_LEASTCOST_H
