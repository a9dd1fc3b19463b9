#ifndef CRANBERRYSPOOL_FLEET_PEERMESSAGE_H
#define CRANBERRYSPOOL_FLEET_PEERMESSAGE_H

#include "fleet/types/heartbeat.h"

#include <variant>

namespace cranberryspool::fleet {

/// All that instances tell each other.
using PeerMessage = std::variant<Heartbeat>;

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_PEERMESSAGE_H
