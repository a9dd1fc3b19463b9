#ifndef CRANBERRYSPOOL_FLEET_TYPES_KEYHANDOVERACK_H
#define CRANBERRYSPOOL_FLEET_TYPES_KEYHANDOVERACK_H

#include "framework/ids.h"

#include <cstdint>

namespace cranberryspool::fleet {

/// Acknowledges one part of a `KeyHandover`.
struct KeyHandoverAck {
  framework::InstanceName From_;
  framework::Incarnation EchoIncarnation_;
  framework::Digest MembersDigest_;
  std::uint32_t Part_ = 0;

  friend bool operator==(const KeyHandoverAck &,
                         const KeyHandoverAck &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_KEYHANDOVERACK_H
