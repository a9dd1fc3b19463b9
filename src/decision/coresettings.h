#ifndef CRANBERRYSPOOL_DECISION_CORESETTINGS_H
#define CRANBERRYSPOOL_DECISION_CORESETTINGS_H

#include "admission/types/admissionsettings.h"
#include "fleet/types/seedsettings.h"
#include "framework/ids.h"
#include "framework/time.h"
#include "workspaces/types/processsecret.h"

#include <chrono>
#include <optional>
#include <string>

namespace cranberryspool::decision {

/// The settings of one instance.
struct CoreSettings {
  framework::InstanceName Self_;
  framework::Incarnation Incarnation_;
  framework::ZoneName Zone_;
  /// The `IP:port` address of this instance for peer messages.
  std::string PeerAddress_{};
  /// The port at which all instances accept calls that others forward; 0 when
  /// calls are not forwarded.
  std::uint16_t ForwardPort_ = 0;
  /// Keys the index of the workspaces' keys; random in production.
  workspaces::ProcessSecret KeyIndexSecret_ = {};
  /// Whether instances tell their peer group the demand of their callers and
  /// divide the slots of a service by it while they are short.
  bool IsSlotSharingEnabled_ = false;
  /// Set if instances discover each other through seeds and read the platform's
  /// metadata store. Otherwise they read the platform's document and instance
  /// list.
  std::optional<fleet::SeedSettings> Seeds_ = std::nullopt;
  /// Whether the start and end of attempts are reported for the log, with the
  /// state on which the choice of the target was based.
  bool ReportsAttempts_ = false;
  /// How long a stopping instance continues to accept calls, so that the
  /// platform's load balancer can notice that it is no longer ready.
  framework::Duration StopLinger_ = std::chrono::seconds(3);
  /// The time from the request to stop after which the process may be killed;
  /// unlimited by default.
  framework::Duration StopGracePeriod_ = framework::Duration::max();
  /// A longer gap between two events means that the process was paused.
  framework::Duration PauseThreshold_ = std::chrono::milliseconds(500);
  /// How long calls are still accepted and queued while the view of the
  /// published state is too old to act on.
  framework::Duration StaleViewGracePeriod_ = std::chrono::seconds(1);
  /// The settings of the queue in which calls wait to start.
  admission::AdmissionSettings Admission_ = {};
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_CORESETTINGS_H
