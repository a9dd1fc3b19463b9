#ifndef CRANBERRYSPOOL_ROUTING_EXPERIMENT_DEPLOYMENT_H
#define CRANBERRYSPOOL_ROUTING_EXPERIMENT_DEPLOYMENT_H

#include "framework/time.h"
#include "routing/experiment/servicemodel.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryspool::experiment {

/// The instances, availability zones and services of a simulation.
struct Deployment {
  std::string Name_;
  std::uint32_t Zones_ = 3;
  std::uint32_t Instances_ = 15;
  /// The one-way network delays between an instance and a target.
  framework::Duration DelayInZone_{};
  framework::Duration DelayBetweenZones_{};
  std::vector<ServiceModel> Services_;

  std::uint32_t targets() const;
};

Deployment lagos();
Deployment centralBelt();

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_ROUTING_EXPERIMENT_DEPLOYMENT_H
