#ifndef CRANBERRYSPOOL_ADMISSION_TYPES_REFUSAL_H
#define CRANBERRYSPOOL_ADMISSION_TYPES_REFUSAL_H

#include "admission/types/refusalreason.h"
#include "framework/time.h"

namespace cranberryspool::admission {

/// The result of an offer that was refused.
struct Refusal {
  RefusalReason Reason_ = RefusalReason::QueueFull;
  /// The time after which a new offer is likely to be accepted.
  framework::Duration RetryAfter_{};
};

} // namespace cranberryspool::admission

#endif // CRANBERRYSPOOL_ADMISSION_TYPES_REFUSAL_H
