#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_PEERMESSAGERECEIVED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_PEERMESSAGERECEIVED_H

#include "fleet/peermessage.h"
#include "fleet/types/transport.h"

namespace cranberryspool::decision {

/// A message from another instance was received and decoded.
struct PeerMessageReceived {
  fleet::PeerMessage Message_;
  fleet::Transport Via_ = fleet::Transport::Datagram;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_PEERMESSAGERECEIVED_H
