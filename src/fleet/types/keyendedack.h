#ifndef CRANBERRYSPOOL_FLEET_TYPES_KEYENDEDACK_H
#define CRANBERRYSPOOL_FLEET_TYPES_KEYENDEDACK_H

#include "framework/ids.h"

namespace cranberryspool::fleet {

/// Acknowledges a `KeyEnded`.
struct KeyEndedAck {
  framework::Incarnation EchoIncarnation_;
  framework::CallId Call_;

  friend bool operator==(const KeyEndedAck &, const KeyEndedAck &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_KEYENDEDACK_H
