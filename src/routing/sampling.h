#ifndef CRANBERRYSPOOL_ROUTING_SAMPLING_H
#define CRANBERRYSPOOL_ROUTING_SAMPLING_H

#include "framework/random.h"
#include "routing/candidates.h"

#include <cstddef>
#include <optional>

namespace cranberryspool::routing {

/// Returns a random position that is not excluded, or nothing when all are.
/// Starts at a random position and skips excluded ones. A call excludes only
/// the few targets that it has used, so that the search is short.
inline std::optional<std::size_t> sampleAllowed(const Candidates &From,
                                                framework::Random &Rng) {
  const std::size_t Count = From.size();
  if (Count == 0)
    return std::nullopt;
  std::size_t Position = Rng.index(Count);
  for (std::size_t Step = 0; Step < Count; ++Step) {
    if (!From.isExcluded(Position))
      return Position;
    Position = (Position + 1) % Count;
  }
  return std::nullopt;
}

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_SAMPLING_H
