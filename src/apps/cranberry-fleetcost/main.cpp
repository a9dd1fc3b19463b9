#include "costreport.h"
#include "costrun.h"

#include <gflags/gflags.h>

#include <array>
#include <iostream>
#include <vector>

DEFINE_bool(json, false, "print JSON instead of a table");
DEFINE_uint64(seed, 1, "seed of the simulated fleet");

namespace {

constexpr std::array<std::size_t, 4> InstanceCounts = {5, 10, 15, 30};
constexpr std::array<std::size_t, 3> TargetCounts = {37, 195, 780};

} // namespace

/// Measures the cost of control per instance at several sizes of the fleet.
int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("measures the cost of control per instance");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  using namespace cranberryspool::fleetcost;
  std::vector<CostSample> Samples;
  for (const std::size_t Instances : InstanceCounts)
    for (const std::size_t Targets : TargetCounts)
      Samples.push_back(
          measureCost(Instances, Targets, ChangeRates{}, FLAGS_seed));
  const KeyCost KeyCosts = measureKeyCost();
  std::cout << (FLAGS_json ? formatCostJson(Samples, KeyCosts) + "\n"
                           : formatCostTable(Samples, KeyCosts));
  return 0;
}
