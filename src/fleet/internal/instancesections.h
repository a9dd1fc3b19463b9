#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_INSTANCESECTIONS_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_INSTANCESECTIONS_H

#include "document/types/documentsection.h"
#include "document/types/publishedinstance.h"

#include <optional>
#include <string_view>
#include <vector>

namespace cranberryspool::fleet {

/// The name of the section with the load balancer's own instances.
inline constexpr std::string_view MembersSection = "members";

/// Splits the list into sections: one per group of targets and one for the
/// instances of the load balancer.
std::vector<document::DocumentSection>
splitInstances(const std::vector<document::PublishedInstance> &Instances);

/// Parses one section of the list; returns nothing when it is invalid.
std::optional<std::vector<document::PublishedInstance>>
parseInstanceSection(std::string_view Text);

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_INSTANCESECTIONS_H
