#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_PEERNOTCONFIRMED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_PEERNOTCONFIRMED_H

#include "framework/ids.h"

#include <string>

namespace cranberryspool::fleet {

/// Reports that a peer was removed, since it has not shown in time that it
/// reads the same store.
struct PeerNotConfirmed {
  framework::InstanceName Peer_;
  framework::Incarnation Incarnation_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_PEERNOTCONFIRMED_H
