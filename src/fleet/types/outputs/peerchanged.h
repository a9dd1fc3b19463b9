#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_PEERCHANGED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_PEERCHANGED_H

#include "framework/ids.h"

namespace cranberryspool::fleet {

/// A peer was heard for the first time in its incarnation, or fell silent.
struct PeerChanged {
  framework::InstanceName Peer_;
  bool IsHeard_ = false;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_PEERCHANGED_H
