#ifndef CRANBERRYSPOOL_ENTRY_ENTRYSETTINGS_H
#define CRANBERRYSPOOL_ENTRY_ENTRYSETTINGS_H

#include "admission/types/admissionsettings.h"
#include "entry/defaulthttpprofile.h"
#include "entry/storeclient.h"
#include "entry/types/endpoint.h"
#include "entry/types/entrylimits.h"
#include "entry/types/httpprofile.h"
#include "fleet/types/seedsettings.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <optional>

namespace cranberryspool::framework {
class LogWriter;
} // namespace cranberryspool::framework

namespace cranberryspool::entry {

/// The settings of one instance.
struct EntrySettings {
  framework::InstanceName Name_;
  framework::ZoneName Zone_;
  Endpoint CallerListen_;
  /// The endpoint for peers: UDP for messages and TCP for JSON-RPC, on the same
  /// port.
  Endpoint PeerListen_;
  /// The endpoint at which other instances forward calls that they cannot send
  /// to any target; all instances use the same port. Unset where calls are not
  /// forwarded.
  std::optional<Endpoint> ForwardListen_ = std::nullopt;
  Endpoint OperatorListen_;
  Endpoint DocumentService_;
  Endpoint InstanceList_;
  EntryLimits Limits_;
  /// How long a stopping instance goes on accepting calls, so that the load
  /// balancer in front of it sees the failing readiness check first.
  framework::Duration StopLinger_ = std::chrono::seconds(3);
  /// The time from the request to stop after which the process may be killed;
  /// unlimited by default.
  framework::Duration StopGracePeriod_ = framework::Duration::max();
  HttpProfile HttpProfile_ = defaultHttpProfile();
  admission::AdmissionSettings Admission_ = {};
  /// Whether instances divide the slots of a short service by the demand of
  /// their callers.
  bool IsSlotSharingEnabled_ = false;
  /// The settings of discovery by seeds, set together with `StoreFactory_` or
  /// not at all. With both, instances find each other by seeds and read the
  /// platform's store; `DocumentService_` and `InstanceList_` are then unused.
  std::optional<fleet::SeedSettings> Seeds_ = std::nullopt;
  StoreFactory StoreFactory_ = {};
  /// A second endpoint for the operator pages. An instance that cannot bind it
  /// starts without it.
  std::optional<Endpoint> MetricsListen_ = std::nullopt;
  /// The writer of log lines, which must outlive the instance; when it is null,
  /// nothing is logged.
  framework::LogWriter *Log_ = nullptr;
  /// True when each request and each attempt is logged.
  bool IsRequestLogEnabled_ = false;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_ENTRYSETTINGS_H
