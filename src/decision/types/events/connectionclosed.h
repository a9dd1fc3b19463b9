#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_CONNECTIONCLOSED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_CONNECTIONCLOSED_H

#include "framework/ids.h"

namespace cranberryspool::decision {

/// A connection could not be opened, or was closed by the target while it
/// carried no attempt.
struct ConnectionClosed {
  framework::ConnectionId Connection_;
  /// True when the connection could not be opened because nothing listens at
  /// the target's address.
  bool IsRefused_ = false;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_CONNECTIONCLOSED_H
