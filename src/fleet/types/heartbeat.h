#ifndef CRANBERRYSPOOL_FLEET_TYPES_HEARTBEAT_H
#define CRANBERRYSPOOL_FLEET_TYPES_HEARTBEAT_H

#include "framework/ids.h"

#include <cstdint>

namespace cranberryspool::fleet {

/// A sign of life. Ordered by (incarnation, sequence).
struct Heartbeat {
  framework::InstanceName From_;
  framework::Incarnation Incarnation_;
  std::uint64_t Sequence_ = 0;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_HEARTBEAT_H
