#ifndef CRANBERRYSPOOL_CAPACITY_TYPES_SLOTALLOTMENT_H
#define CRANBERRYSPOOL_CAPACITY_TYPES_SLOTALLOTMENT_H

#include <cstdint>
#include <vector>

namespace cranberryspool::capacity {

/// The slots of a service that one instance may use.
struct SlotAllotment {
  std::uint32_t Total_ = 0;
  /// The number of slots at each target.
  std::vector<std::uint32_t> SlotsByTarget_;

  friend bool operator==(const SlotAllotment &,
                         const SlotAllotment &) = default;
};

} // namespace cranberryspool::capacity

#endif // CRANBERRYSPOOL_CAPACITY_TYPES_SLOTALLOTMENT_H
