#ifndef CRANBERRYSPOOL_CALLS_TYPES_TARGETCRASH_H
#define CRANBERRYSPOOL_CALLS_TYPES_TARGETCRASH_H

#include "framework/ids.h"
#include "framework/time.h"

namespace cranberryspool::calls {

/// A target that crashed while it had a certain request.
struct TargetCrash {
  framework::TargetName Target_;
  framework::Instant At_{};
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_TARGETCRASH_H
