#ifndef CRANBERRYSPOOL_APPS_FLEETCOST_COSTDOCUMENT_H
#define CRANBERRYSPOOL_APPS_FLEETCOST_COSTDOCUMENT_H

#include "document/types/publishedinstance.h"

#include <cstddef>
#include <string>
#include <vector>

namespace cranberryspool::fleetcost {

/// Returns the number of services for a given number of targets.
std::size_t serviceCount(std::size_t Targets);

/// Returns an environment document with four zones and one group of targets for
/// each service and zone. Consecutive versions differ in two services at most.
std::string makeDocument(std::size_t Services, std::size_t Version);

/// Returns targets that are distributed evenly over the groups of the document.
std::vector<document::PublishedInstance> makeTargets(std::size_t Count);

} // namespace cranberryspool::fleetcost

#endif // CRANBERRYSPOOL_APPS_FLEETCOST_COSTDOCUMENT_H
