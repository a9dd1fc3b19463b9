#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_CONNECTIONCLOSED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_CONNECTIONCLOSED_H

#include "framework/ids.h"

namespace cranberryspool::decision {

/// A connection failed to open, or was closed by the other end while no
/// attempt was on it.
struct ConnectionClosed {
  framework::ConnectionId Connection_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_CONNECTIONCLOSED_H
