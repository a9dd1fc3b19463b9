#ifndef CRANBERRYSPOOL_STANDINS_DEPLOYMENT_H
#define CRANBERRYSPOOL_STANDINS_DEPLOYMENT_H

#include "framework/random.h"
#include "standins/deploymentsettings.h"
#include "standins/peernetworkproxy.h"
#include "standins/platformstandin.h"
#include "standins/runrecord.h"
#include "standins/targetstandin.h"

#include <memory>
#include <vector>

namespace cranberryspool::standins {

/// Stand-ins for the platform and all targets of a deployment, in one process.
/// Used only by the thread of its I/O context.
class Deployment {
public:
  Deployment(boost::asio::io_context &Context,
             const DeploymentSettings &Settings, framework::Random Rng);

  PlatformStandin &platform() { return Platform_; }
  PeerNetworkProxy &peerNetwork() { return PeerNetwork_; }
  const RunRecord &record() const { return Record_; }
  const std::vector<std::unique_ptr<TargetStandin>> &targets() const {
    return Targets_;
  }

  /// Returns the targets whose name, group or zone equals the selector, or all
  /// targets for `*`.
  std::vector<TargetStandin *> selectTargets(const std::string &Selector);

  /// Publishes a target as live or leaving in the platform's instance list.
  void publishTarget(const TargetStandin &Target, bool IsLeaving);

private:
  RunRecord Record_;
  PlatformStandin Platform_;
  PeerNetworkProxy PeerNetwork_;
  std::vector<std::unique_ptr<TargetStandin>> Targets_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_DEPLOYMENT_H
