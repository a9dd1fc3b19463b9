#ifndef CRANBERRYSPOOL_APPS_FLEETCOST_COSTREPORT_H
#define CRANBERRYSPOOL_APPS_FLEETCOST_COSTREPORT_H

#include "costsample.h"
#include "keycost.h"

#include <string>
#include <vector>

namespace cranberryspool::fleetcost {

/// Returns the samples as a table in plain text.
std::string costTable(const std::vector<CostSample> &Samples,
                      const KeyCost &Keys);

/// Returns the samples, and for each cost the plane fitted by least squares:
/// `base`, and the slopes `per-instance` and `per-target`, with the largest
/// error of the fit, as JSON.
std::string costJson(const std::vector<CostSample> &Samples,
                     const KeyCost &Keys);

} // namespace cranberryspool::fleetcost

#endif // CRANBERRYSPOOL_APPS_FLEETCOST_COSTREPORT_H
