#ifndef CRANBERRYSPOOL_APPS_FLEETCOST_COSTREPORT_H
#define CRANBERRYSPOOL_APPS_FLEETCOST_COSTREPORT_H

#include "costsample.h"
#include "keycost.h"

#include <string>
#include <vector>

namespace cranberryspool::fleetcost {

/// Formats the samples as a plain-text table.
std::string formatCostTable(const std::vector<CostSample> &Samples,
                            const KeyCost &KeyCosts);

/// Formats the samples as JSON, with a plane fitted to each cost by least
/// squares: `base`, the slopes `per-instance` and `per-target`, and the maximum
/// absolute error of the fit.
std::string formatCostJson(const std::vector<CostSample> &Samples,
                           const KeyCost &KeyCosts);

} // namespace cranberryspool::fleetcost

#endif // CRANBERRYSPOOL_APPS_FLEETCOST_COSTREPORT_H
