#ifndef CRANBERRYSPOOL_FLEET_TYPES_KEYREPLY_H
#define CRANBERRYSPOOL_FLEET_TYPES_KEYREPLY_H

#include "fleet/types/keydecision.h"
#include "framework/ids.h"

#include <string>

namespace cranberryspool::fleet {

/// The owner's reply to a `KeyRequest`.
struct KeyReply {
  /// The incarnation and call from the request.
  framework::Incarnation EchoIncarnation_;
  framework::CallId Call_;
  KeyDecision Decision_ = KeyDecision::OwnerUnreachable;
  /// For `Replay`: the instance that stores the response, and the call that the
  /// response belongs to.
  framework::InstanceName Runner_;
  framework::Incarnation RunnerIncarnation_;
  std::string RunnerAddress_;
  framework::CallId RunnerCall_;

  friend bool operator==(const KeyReply &, const KeyReply &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_KEYREPLY_H
