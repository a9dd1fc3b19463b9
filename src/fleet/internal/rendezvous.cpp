#include "fleet/internal/rendezvous.h"

#include <xxhash.h>

namespace cranberryspool::fleet {

std::uint64_t rendezvousWeight(std::string_view Subject,
                               std::string_view Member) {
  const std::uint64_t Seed = XXH64(Member.data(), Member.size(), 0);
  return XXH64(Subject.data(), Subject.size(), Seed);
}

const document::PublishedInstance *
findOwner(std::string_view Subject,
          const std::vector<document::PublishedInstance> &Members) {
  const document::PublishedInstance *Best = nullptr;
  std::uint64_t BestWeight = 0;
  for (const document::PublishedInstance &Member : Members) {
    if (Member.IsLeaving_)
      continue;
    const std::uint64_t Weight =
        rendezvousWeight(Subject, Member.Name_.value());
    if (Best && Weight <= BestWeight)
      continue;
    Best = &Member;
    BestWeight = Weight;
  }
  return Best;
}

} // namespace cranberryspool::fleet
