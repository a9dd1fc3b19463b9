#ifndef CRANBERRYSPOOL_DECISION_CORESETTINGS_H
#define CRANBERRYSPOOL_DECISION_CORESETTINGS_H

#include "fleet/types/seedsettings.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <chrono>
#include <optional>
#include <string>

namespace cranberryspool::decision {

/// What an instance knows of itself before it has heard from anybody.
struct CoreSettings {
  framework::InstanceName Self_;
  framework::Incarnation Incarnation_;
  framework::ZoneName Zone_;
  /// `IP:port` of this instance's peer messages.
  std::string PeerAddress_{};
  /// Set where instances find each other by seeds and read the platform's
  /// store; otherwise they read its document and its list of instances.
  std::optional<fleet::SeedSettings> Seeds_ = std::nullopt;
  /// Whether attempts are reported with what decided them, for the log.
  bool ReportsAttempts_ = false;
  /// How long a stopping instance goes on accepting calls, so that the
  /// platform's balancer can notice that it is not ready any more.
  framework::Duration StopLinger_ = std::chrono::seconds(3);
  /// A longer time between two events means that the process was paused.
  framework::Duration MaxEventGap_ = std::chrono::milliseconds(500);
  /// How long calls are accepted and wait while the view of the published state
  /// is too old to act on.
  framework::Duration ViewGrace_ = std::chrono::seconds(1);
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_CORESETTINGS_H
