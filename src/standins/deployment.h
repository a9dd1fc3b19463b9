#ifndef CRANBERRYSPOOL_STANDINS_DEPLOYMENT_H
#define CRANBERRYSPOOL_STANDINS_DEPLOYMENT_H

#include "framework/random.h"
#include "standins/deploymentsettings.h"
#include "standins/peerlink.h"
#include "standins/platformstandin.h"
#include "standins/runrecord.h"
#include "standins/targetstandin.h"

#include <memory>
#include <vector>

namespace cranberryspool::standins {

/// The platform and all targets of a deployment, in one process. Used by the
/// thread of its I/O context only.
class Deployment {
public:
  Deployment(boost::asio::io_context &Context,
             const DeploymentSettings &Settings, framework::Random Rng);

  PlatformStandin &platform() { return Platform_; }
  PeerLink &link() { return Link_; }
  const RunRecord &record() const { return Record_; }
  const std::vector<std::unique_ptr<TargetStandin>> &targets() const {
    return Targets_;
  }

  /// Returns the targets whose name, group or zone is the given text; all for
  /// `*`.
  std::vector<TargetStandin *> select(const std::string &Text);

  /// Publishes the state of a target in the platform's list.
  void publishTarget(const TargetStandin &Target, bool IsLeaving);

private:
  RunRecord Record_;
  PlatformStandin Platform_;
  PeerLink Link_;
  std::vector<std::unique_ptr<TargetStandin>> Targets_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_DEPLOYMENT_H
