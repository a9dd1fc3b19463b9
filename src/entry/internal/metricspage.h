#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_METRICSPAGE_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_METRICSPAGE_H

#include "decision/corecounters.h"
#include "decision/corestatus.h"
#include "entry/internal/resourceusage.h"

#include <string>

namespace cranberryspool::entry {

class CallStatistics;

/// Renders the page `/metrics` in the Prometheus text format.
std::string writeMetrics(const decision::CoreCounters &Counters,
                         const decision::CoreStatus &Status,
                         const ResourceUsage &Usage,
                         const CallStatistics &Statistics);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_METRICSPAGE_H
