#ifndef CRANBERRYSPOOL_DECISION_TYPES_QUEUESTATUS_H
#define CRANBERRYSPOOL_DECISION_TYPES_QUEUESTATUS_H

#include "framework/ids.h"

#include <cstddef>

namespace cranberryspool::decision {

/// The number of queued calls of a service at an instance.
struct QueueStatus {
  framework::ServiceName Service_;
  std::size_t Urgent_ = 0;
  std::size_t Ordinary_ = 0;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_QUEUESTATUS_H
