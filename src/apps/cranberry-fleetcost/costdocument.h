#ifndef CRANBERRYSPOOL_APPS_FLEETCOST_COSTDOCUMENT_H
#define CRANBERRYSPOOL_APPS_FLEETCOST_COSTDOCUMENT_H

#include "document/types/publishedinstance.h"

#include <cstddef>
#include <string>
#include <vector>

namespace cranberryspool::fleetcost {

/// Returns the number of services that a number of targets has.
std::size_t serviceCount(std::size_t Targets);

/// Returns a document with four zones and a group a service and zone. Each
/// `Version` differs from the one before in one service.
std::string makeDocument(std::size_t Services, std::size_t Version);

/// Returns the targets, spread over the groups of the document.
std::vector<document::PublishedInstance> makeTargets(std::size_t Count);

} // namespace cranberryspool::fleetcost

#endif // CRANBERRYSPOOL_APPS_FLEETCOST_COSTDOCUMENT_H
