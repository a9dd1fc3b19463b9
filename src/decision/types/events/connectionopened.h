#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_CONNECTIONOPENED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_CONNECTIONOPENED_H

#include "framework/ids.h"
#include "framework/time.h"

namespace cranberryspool::decision {

/// A connection requested by the core has been opened.
struct ConnectionOpened {
  framework::ConnectionId Connection_;
  framework::Duration SetupTime_{};
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_CONNECTIONOPENED_H
