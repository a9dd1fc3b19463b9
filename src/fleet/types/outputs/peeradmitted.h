#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_PEERADMITTED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_PEERADMITTED_H

#include "framework/ids.h"

#include <string>

namespace cranberryspool::fleet {

/// Reports that an incarnation of a peer is known to belong to the fleet.
struct PeerAdmitted {
  framework::InstanceName Peer_;
  framework::Incarnation Incarnation_;
  /// The admitted instance that has listed it, or the key of the record that it
  /// has shown.
  std::string Source_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_PEERADMITTED_H
