#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_RENDEZVOUS_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_RENDEZVOUS_H

#include "document/types/publishedinstance.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace cranberryspool::fleet {

/// Returns the weight of a member for a subject. The member with the highest
/// weight owns the subject (rendezvous hashing, Thaler and Ravishankar, 1998):
/// removing a member moves only the subjects that it owned.
std::uint64_t rendezvousWeight(std::string_view Subject,
                               std::string_view Member);

/// Returns the owner of a subject among the members that are not leaving, or
/// null if there is none.
const document::PublishedInstance *
findOwner(std::string_view Subject,
          const std::vector<document::PublishedInstance> &Members);

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_RENDEZVOUS_H
