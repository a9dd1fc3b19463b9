#ifndef CRANBERRYSPOOL_ADMISSION_TYPES_SERVICECAPACITY_H
#define CRANBERRYSPOOL_ADMISSION_TYPES_SERVICECAPACITY_H

#include <cstdint>

namespace cranberryspool::admission {

/// The total slots of the live targets of a service, and the number of
/// instances that share them.
struct ServiceCapacity {
  std::uint32_t Slots_ = 1;
  std::uint32_t Instances_ = 1;

  friend bool operator==(const ServiceCapacity &,
                         const ServiceCapacity &) = default;
};

} // namespace cranberryspool::admission

#endif // CRANBERRYSPOOL_ADMISSION_TYPES_SERVICECAPACITY_H
