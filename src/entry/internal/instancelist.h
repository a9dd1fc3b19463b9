#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_INSTANCELIST_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_INSTANCELIST_H

#include "document/types/publishedinstance.h"
#include "framework/ids.h"

#include <optional>
#include <string_view>
#include <vector>

namespace cranberryspool::entry {

/// The platform's list of instances at one revision.
struct InstanceList {
  framework::Revision Revision_;
  std::vector<document::PublishedInstance> Instances_;
};

/// Parses the platform's list of instances (JSON). Returns nothing when any
/// part is invalid: in a partial list the missing instances would seem to have
/// left.
std::optional<InstanceList> readInstanceList(std::string_view Text);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_INSTANCELIST_H
