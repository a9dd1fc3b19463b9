#ifndef CRANBERRYSPOOL_STANDINS_DEPLOYMENTSETTINGS_H
#define CRANBERRYSPOOL_STANDINS_DEPLOYMENTSETTINGS_H

#include "document/types/publishedinstance.h"
#include "framework/time.h"
#include "standins/linkendpoint.h"
#include "standins/targetsettings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryspool::standins {

/// What stands behind the instances in a trial.
struct DeploymentSettings {
  std::string PlatformAddress_;
  std::uint32_t PlatformCallsPerSecond_ = 2000;
  framework::Duration ListLag_{};
  /// The text of the environment document, published at the start.
  std::string Document_;
  std::vector<TargetSettings> Targets_;
  /// The entry instances that the list names from the start.
  std::vector<document::PublishedInstance> Instances_;
  /// The network between instances; empty when they reach each other directly.
  std::vector<LinkEndpoint> Link_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_DEPLOYMENTSETTINGS_H
