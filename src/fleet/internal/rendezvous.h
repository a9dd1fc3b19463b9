#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_RENDEZVOUS_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_RENDEZVOUS_H

#include "document/types/publishedinstance.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace cranberryspool::fleet {

/// Returns the weight of a member for a subject. The member with the highest
/// weight is the subject's home (rendezvous hashing, Thaler and Ravishankar,
/// 1998): one member less moves only the subjects of that member.
std::uint64_t rendezvousWeight(std::string_view Subject,
                               std::string_view Member);

/// Returns the home among the members that are not leaving, or null.
const document::PublishedInstance *
findHome(std::string_view Subject,
         const std::vector<document::PublishedInstance> &Members);

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_RENDEZVOUS_H
