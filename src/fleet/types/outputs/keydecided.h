#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_KEYDECIDED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_KEYDECIDED_H

#include "fleet/types/keydecision.h"
#include "framework/ids.h"

#include <string>

namespace cranberryspool::fleet {

/// The answer to `requestKey`.
struct KeyDecided {
  framework::CallId Call_;
  KeyDecision Decision_ = KeyDecision::OwnerUnreachable;
  /// For `Replay`: who keeps the answer, and under which number; the address is
  /// empty when it is this instance.
  std::string PeerAddress_;
  framework::CallId PeerCall_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_KEYDECIDED_H
