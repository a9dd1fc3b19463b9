#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_INSTANCESECTIONS_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_INSTANCESECTIONS_H

#include "document/types/documentsection.h"
#include "document/types/publishedinstance.h"

#include <optional>
#include <string_view>
#include <vector>

namespace cranberryspool::fleet {

/// The name of the section that holds the instances of this system.
inline constexpr std::string_view MembersSection = "members";

/// Returns the list as sections: one a group of targets, one for the members.
std::vector<document::DocumentSection>
splitInstances(const std::vector<document::PublishedInstance> &Instances);

/// Reads one section of the list; nothing when it is not valid.
std::optional<std::vector<document::PublishedInstance>>
readInstanceSection(std::string_view Text);

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_INSTANCESECTIONS_H
