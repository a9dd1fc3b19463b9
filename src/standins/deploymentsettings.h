#ifndef CRANBERRYSPOOL_STANDINS_DEPLOYMENTSETTINGS_H
#define CRANBERRYSPOOL_STANDINS_DEPLOYMENTSETTINGS_H

#include "document/types/publishedinstance.h"
#include "framework/time.h"
#include "standins/peerendpoint.h"
#include "standins/targetsettings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryspool::standins {

/// The simulated platform, targets and peer network of a trial.
struct DeploymentSettings {
  std::string PlatformAddress_;
  std::uint32_t PlatformCallsPerSecond_ = 2000;
  /// The time after which changes of the instance list reach its readers.
  framework::Duration ListLag_{};
  /// The text of the environment document that is published at the start.
  std::string Document_;
  std::vector<TargetSettings> Targets_;
  /// The entry instances that the instance list contains from the start.
  std::vector<document::PublishedInstance> Instances_;
  /// The endpoints of the proxied network between instances. When empty, the
  /// instances reach each other directly.
  std::vector<PeerEndpoint> PeerNetwork_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_DEPLOYMENTSETTINGS_H
