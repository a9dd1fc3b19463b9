#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_SENDPEERMESSAGE_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_SENDPEERMESSAGE_H

#include "fleet/peermessage.h"
#include "fleet/types/transport.h"

#include <string>

namespace cranberryspool::decision {

/// Send a message to another instance. The message may be lost, duplicated or
/// delayed.
struct SendPeerMessage {
  std::string PeerAddress_;
  fleet::PeerMessage Message_;
  fleet::Transport Via_ = fleet::Transport::Datagram;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_SENDPEERMESSAGE_H
