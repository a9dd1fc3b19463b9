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
  /// For `Replay`: the peer that keeps the answer, and the call that the answer
  /// belongs to. The address is empty when this instance keeps the answer.
  std::string PeerAddress_;
  framework::CallId PeerCall_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_KEYDECIDED_H
