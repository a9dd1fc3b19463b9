#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_PEERREACHABILITYCHANGED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_PEERREACHABILITYCHANGED_H

#include "framework/ids.h"

namespace cranberryspool::fleet {

/// Reports that a peer became reachable in its current incarnation, or was
/// lost.
struct PeerReachabilityChanged {
  framework::InstanceName Peer_;
  bool IsReachable_ = false;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_PEERREACHABILITYCHANGED_H
