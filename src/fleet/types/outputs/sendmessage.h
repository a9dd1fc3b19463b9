#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_SENDMESSAGE_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_SENDMESSAGE_H

#include "fleet/peermessage.h"
#include "fleet/types/transport.h"

#include <string>

namespace cranberryspool::fleet {

/// Requests sending a message to a peer. Messages may be lost, duplicated or
/// delayed.
struct SendMessage {
  std::string PeerAddress_;
  PeerMessage Message_;
  Transport Via_ = Transport::Datagram;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_SENDMESSAGE_H
