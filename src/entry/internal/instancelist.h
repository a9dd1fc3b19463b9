#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_INSTANCELIST_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_INSTANCELIST_H

#include "document/types/publishedinstance.h"
#include "framework/ids.h"

#include <optional>
#include <string_view>
#include <vector>

namespace cranberryspool::entry {

/// The platform's list at one revision.
struct InstanceList {
  framework::Revision Revision_;
  std::vector<document::PublishedInstance> Instances_;
};

/// Reads the platform's list of instances (JSON); nothing when any part of it
/// is unreadable, since half a list would look like a fleet that left.
std::optional<InstanceList> readInstanceList(std::string_view Text);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_INSTANCELIST_H
