#ifndef CRANBERRYSPOOL_ROUTING_EXPERIMENT_DEPLOYMENT_H
#define CRANBERRYSPOOL_ROUTING_EXPERIMENT_DEPLOYMENT_H

#include "framework/time.h"
#include "routing/experiment/servicemodel.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryspool::experiment {

/// The sizes of a workload for virtual runs.
struct Deployment {
  std::string Name_;
  std::uint32_t Zones_ = 3;
  std::uint32_t Instances_ = 15;
  /// One-way delays between an instance and a target.
  framework::Duration DelayInZone_{};
  framework::Duration DelayBetweenZones_{};
  std::vector<ServiceModel> Services_;

  std::uint32_t targets() const;
};

Deployment lagos();
Deployment centralBelt();

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_ROUTING_EXPERIMENT_DEPLOYMENT_H
