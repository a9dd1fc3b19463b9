#ifndef CRANBERRYSPOOL_APPS_FLEETCOST_COSTRUN_H
#define CRANBERRYSPOOL_APPS_FLEETCOST_COSTRUN_H

#include "costsample.h"

#include <cstdint>

namespace cranberryspool::fleetcost {

/// The rates at which the document and the instance list change.
struct ChangeRates {
  double DocumentPerDay_ = 1'300;
  /// Restarts and failures of instances per day. Each changes the instance list
  /// twice.
  double RestartsPerDay_ = 68;
};

/// Runs a fleet in simulated time and returns the cost of its control traffic
/// and state.
CostSample measureCost(std::size_t Instances, std::size_t Targets,
                       const ChangeRates &Rates, std::uint64_t Seed);

} // namespace cranberryspool::fleetcost

#endif // CRANBERRYSPOOL_APPS_FLEETCOST_COSTRUN_H
