#ifndef CRANBERRYSPOOL_FLEET_TYPES_KEYRECORD_H
#define CRANBERRYSPOOL_FLEET_TYPES_KEYRECORD_H

#include "fleet/types/keyoutcome.h"
#include "framework/ids.h"

#include <string>

namespace cranberryspool::fleet {

/// The owner's record of a key and the instance that runs the call.
struct KeyRecord {
  framework::IdempotencyKey Key_;
  framework::InstanceName Runner_;
  framework::Incarnation RunnerIncarnation_;
  std::string RunnerAddress_;
  framework::CallId RunnerCall_;
  KeyOutcome Outcome_ = KeyOutcome::Running;

  friend bool operator==(const KeyRecord &, const KeyRecord &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_KEYRECORD_H
