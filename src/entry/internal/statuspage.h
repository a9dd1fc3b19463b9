#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_STATUSPAGE_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_STATUSPAGE_H

#include "decision/corestatus.h"
#include "framework/ids.h"

#include <string>

namespace cranberryspool::entry {

class CallStatistics;

/// Renders the page `/status`, a JSON object.
std::string writeStatus(const framework::InstanceName &Name,
                        const framework::ZoneName &Zone,
                        const decision::CoreStatus &Status,
                        const CallStatistics &Statistics);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_STATUSPAGE_H
