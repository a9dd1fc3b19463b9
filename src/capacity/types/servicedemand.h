#ifndef CRANBERRYSPOOL_CAPACITY_TYPES_SERVICEDEMAND_H
#define CRANBERRYSPOOL_CAPACITY_TYPES_SERVICEDEMAND_H

#include "framework/ids.h"

#include <cstdint>

namespace cranberryspool::capacity {

/// The calls of a service that an instance has in progress or queued.
struct ServiceDemand {
  framework::ServiceName Service_;
  std::uint32_t Calls_ = 0;

  friend bool operator==(const ServiceDemand &,
                         const ServiceDemand &) = default;
};

} // namespace cranberryspool::capacity

#endif // CRANBERRYSPOOL_CAPACITY_TYPES_SERVICEDEMAND_H
