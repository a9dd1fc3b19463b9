#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_STOREDRESPONSEEXPIRED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_STOREDRESPONSEEXPIRED_H

#include "framework/ids.h"

namespace cranberryspool::fleet {

/// Reports that the stored response of a call with an idempotency key is no
/// longer needed.
struct StoredResponseExpired {
  framework::CallId Call_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_STOREDRESPONSEEXPIRED_H
