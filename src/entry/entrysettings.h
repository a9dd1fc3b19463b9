#ifndef CRANBERRYSPOOL_ENTRY_ENTRYSETTINGS_H
#define CRANBERRYSPOOL_ENTRY_ENTRYSETTINGS_H

#include "entry/types/endpoint.h"
#include "entry/types/entrylimits.h"
#include "framework/ids.h"
#include "framework/time.h"

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
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_ENTRYSETTINGS_H
