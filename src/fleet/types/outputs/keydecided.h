#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_KEYDECIDED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_KEYDECIDED_H

#include "fleet/types/keydecision.h"
#include "framework/ids.h"

#include <string>

namespace cranberryspool::fleet {

/// Answers `requestKey`.
struct KeyDecided {
  framework::CallId Call_;
  KeyDecision Decision_ = KeyDecision::OwnerUnreachable;
  /// For `Replay`: the peer that stores the response, and the call that the
  /// response belongs to. The address is empty when this instance stores the
  /// response.
  std::string PeerAddress_;
  framework::CallId PeerCall_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_KEYDECIDED_H
