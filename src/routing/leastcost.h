#ifndef CRANBERRYSPOOL_ROUTING_LEASTCOST_H
#define CRANBERRYSPOOL_ROUTING_LEASTCOST_H

#include "routing/sampling.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace cranberryspool::routing {

/// Returns the position with the lowest `Cost(Position)` among `SampleSize`
/// random candidates and all preferred ones, or among all when there are no
/// more than that. Of equal candidates the first one from a random start wins.
/// Returns nothing when all candidates are excluded.
template <typename CostFunction>
std::optional<std::size_t>
selectLeastCost(const Candidates &From, std::size_t SampleSize,
                framework::Random &Rng, const CostFunction &Cost) {
  const std::size_t Count = From.size();
  if (Count == 0)
    return std::nullopt;
  const bool ComparesAll = Count <= SampleSize;
  std::optional<std::size_t> Best;
  double BestCost = 0;
  const auto Compare = [&](std::size_t Position) {
    if (From.isExcluded(Position))
      return;
    const double PositionCost = Cost(Position);
    if (Best && PositionCost >= BestCost)
      return;
    Best = Position;
    BestCost = PositionCost;
  };
  const std::size_t Start = ComparesAll ? Rng.index(Count) : 0;
  for (std::size_t Sample = 0; Sample < std::min(SampleSize, Count); ++Sample)
    Compare(ComparesAll ? (Start + Sample) % Count : Rng.index(Count));
  for (std::size_t Position = 0; !ComparesAll && Position < Count; ++Position)
    if (From.state(Position).Limits_.IsPreferred_)
      Compare(Position);
  return Best ? Best : sampleAllowed(From, Rng);
}

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_LEASTCOST_H
