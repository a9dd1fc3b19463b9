#ifndef CRANBERRYSPOOL_ADMISSION_TYPES_QUEUEDCALL_H
#define CRANBERRYSPOOL_ADMISSION_TYPES_QUEUEDCALL_H

#include "document/types/urgency.h"
#include "framework/ids.h"
#include "framework/time.h"

namespace cranberryspool::admission {

/// A call that is offered to the admission queue.
struct QueuedCall {
  framework::CallId Call_;
  framework::ServiceId Service_;
  document::Urgency Urgency_ = document::Urgency::Ordinary;
  framework::Instant Arrival_{};
  framework::Instant Deadline_{};
};

} // namespace cranberryspool::admission

#endif // CRANBERRYSPOOL_ADMISSION_TYPES_QUEUEDCALL_H
