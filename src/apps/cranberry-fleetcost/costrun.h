#ifndef CRANBERRYSPOOL_APPS_FLEETCOST_COSTRUN_H
#define CRANBERRYSPOOL_APPS_FLEETCOST_COSTRUN_H

#include "costsample.h"

#include <cstdint>

namespace cranberryspool::fleetcost {

/// How many times a day the document and the list of instances change.
struct ChangeRates {
  double DocumentPerDay_ = 1'300;
  /// Restarts and failures; each changes the list twice.
  double RestartsPerDay_ = 68;
};

/// Runs a fleet in virtual time and returns what control cost.
CostSample measureCost(std::size_t Instances, std::size_t Targets,
                       const ChangeRates &Rates, std::uint64_t Seed);

} // namespace cranberryspool::fleetcost

#endif // CRANBERRYSPOOL_APPS_FLEETCOST_COSTRUN_H
