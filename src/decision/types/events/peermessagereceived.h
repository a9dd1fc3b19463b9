#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_PEERMESSAGERECEIVED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_PEERMESSAGERECEIVED_H

#include "fleet/peermessage.h"

namespace cranberryspool::decision {

/// A message of another instance arrived and was decoded.
struct PeerMessageReceived {
  fleet::PeerMessage Message_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_PEERMESSAGERECEIVED_H
