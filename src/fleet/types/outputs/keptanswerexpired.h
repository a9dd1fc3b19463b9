#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_KEPTANSWEREXPIRED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_KEPTANSWEREXPIRED_H

#include "framework/ids.h"

namespace cranberryspool::fleet {

/// Reports that the kept answer of a call with an idempotency key is no longer
/// needed.
struct KeptAnswerExpired {
  framework::CallId Call_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_KEPTANSWEREXPIRED_H
