#ifndef CRANBERRYSPOOL_FLEET_TYPES_KEYENDED_H
#define CRANBERRYSPOOL_FLEET_TYPES_KEYENDED_H

#include "fleet/types/keyoutcome.h"
#include "framework/ids.h"

#include <string>

namespace cranberryspool::fleet {

/// Tells the owner of a key how the admitted call ended. Resent until
/// acknowledged.
struct KeyEnded {
  framework::InstanceName From_;
  framework::Incarnation Incarnation_;
  std::string Address_;
  framework::CallId Call_;
  framework::IdempotencyKey Key_;
  KeyOutcome Outcome_ = KeyOutcome::ResponseUnavailable;

  friend bool operator==(const KeyEnded &, const KeyEnded &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_KEYENDED_H
