#ifndef CRANBERRYSPOOL_APPS_FLEETCOST_COSTREPORT_H
#define CRANBERRYSPOOL_APPS_FLEETCOST_COSTREPORT_H

#include "costsample.h"

#include <string>
#include <vector>

namespace cranberryspool::fleetcost {

/// Returns the samples as a table in plain text.
std::string costTable(const std::vector<CostSample> &Samples);

/// Returns the samples, and for each cost the plane fitted by least squares:
/// `base`, and the slopes `per-instance` and `per-target`, as JSON.
std::string costJson(const std::vector<CostSample> &Samples);

} // namespace cranberryspool::fleetcost

#endif // CRANBERRYSPOOL_APPS_FLEETCOST_COSTREPORT_H
