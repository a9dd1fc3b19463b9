#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_PEERREACHABILITYCHANGED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_PEERREACHABILITYCHANGED_H

#include "framework/ids.h"

namespace cranberryspool::fleet {

/// A peer was heard for the first time in its incarnation, or fell silent.
struct PeerReachabilityChanged {
  framework::InstanceName Peer_;
  bool IsReachable_ = false;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_PEERREACHABILITYCHANGED_H
