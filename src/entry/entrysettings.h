#ifndef CRANBERRYSPOOL_ENTRY_ENTRYSETTINGS_H
#define CRANBERRYSPOOL_ENTRY_ENTRYSETTINGS_H

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

/// What an operator sets for one instance.
struct EntrySettings {
  framework::InstanceName Name_;
  framework::ZoneName Zone_;
  Endpoint CallerListen_;
  /// UDP for messages, TCP for bulk, on the same port.
  Endpoint PeerListen_;
  Endpoint OperatorListen_;
  Endpoint DocumentService_;
  Endpoint InstanceList_;
  EntryLimits Limits_;
  /// How long a stopping instance goes on accepting calls, so that the balancer
  /// notices first.
  framework::Duration StopLinger_ = std::chrono::seconds(3);
  HttpProfile HttpProfile_ = defaultHttpProfile();
  /// Set both or none: where instances find each other by seeds and read the
  /// platform's store, the document service and the instance list are unused.
  std::optional<fleet::SeedSettings> Seeds_ = std::nullopt;
  StoreFactory StoreFactory_ = {};
  /// Where the operators' pages are served besides, as far as the address can
  /// be had.
  std::optional<Endpoint> MetricsListen_ = std::nullopt;
  /// Takes the log lines; must outlive the instance. None are written when it
  /// is null.
  framework::LogWriter *Log_ = nullptr;
  /// Whether each request and attempt has lines of its own.
  bool IsRequestLogEnabled_ = false;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_ENTRYSETTINGS_H
