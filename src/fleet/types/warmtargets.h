#ifndef CRANBERRYSPOOL_FLEET_TYPES_WARMTARGETS_H
#define CRANBERRYSPOOL_FLEET_TYPES_WARMTARGETS_H

#include "framework/ids.h"

#include <cstdint>
#include <vector>

namespace cranberryspool::fleet {

/// Which targets a peer knows to be warm: one bit a target, in the order of
/// their names in the list of that revision, lowest bit first.
struct WarmTargets {
  framework::Revision ListRevision_;
  std::vector<std::uint8_t> Bits_;

  friend bool operator==(const WarmTargets &, const WarmTargets &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_WARMTARGETS_H
