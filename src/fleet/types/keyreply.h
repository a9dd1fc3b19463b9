#ifndef CRANBERRYSPOOL_FLEET_TYPES_KEYREPLY_H
#define CRANBERRYSPOOL_FLEET_TYPES_KEYREPLY_H

#include "fleet/types/keydecision.h"
#include "framework/ids.h"

#include <string>

namespace cranberryspool::fleet {

/// The home's answer to a `KeyRequest`.
struct KeyReply {
  /// The incarnation and call of the request.
  framework::Incarnation EchoIncarnation_;
  framework::CallId Call_;
  KeyDecision Decision_ = KeyDecision::OwnerUnreachable;
  /// For `Replay`: who keeps the answer, and under which number.
  framework::InstanceName Runner_;
  framework::Incarnation RunnerIncarnation_;
  std::string RunnerAddress_;
  framework::CallId RunnerCall_;

  friend bool operator==(const KeyReply &, const KeyReply &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_KEYREPLY_H
