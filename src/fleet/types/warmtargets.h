#ifndef CRANBERRYSPOOL_FLEET_TYPES_WARMTARGETS_H
#define CRANBERRYSPOOL_FLEET_TYPES_WARMTARGETS_H

#include "framework/ids.h"

#include <cstdint>
#include <vector>

namespace cranberryspool::fleet {

/// The targets that a peer knows to be warm: one bit per target, lowest bit
/// first, in the order of the target names in the list with this revision.
struct WarmTargets {
  framework::Revision ListRevision_;
  std::vector<std::uint8_t> Bits_;

  friend bool operator==(const WarmTargets &, const WarmTargets &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_WARMTARGETS_H
