#ifndef CRANBERRYSPOOL_CAPACITY_COMPUTEALLOTMENT_H
#define CRANBERRYSPOOL_CAPACITY_COMPUTEALLOTMENT_H

#include "capacity/types/peergroupdemand.h"
#include "capacity/types/slotallotment.h"

#include <cstdint>
#include <optional>
#include <span>

namespace cranberryspool::capacity {

/// Returns the slots that this instance may use while its peer group is short
/// of slots; nothing while it is not, or while no peer's demand is known.
///
/// Each instance has consecutive slots of its own, by its rank, so that the
/// slots of all groups together are those of the service. Within a group each
/// member gets slots in proportion to its demand, by the D'Hondt method; a
/// member whose demand is unknown keeps its own. Members with the same figures
/// compute allotments that do not overlap.
std::optional<SlotAllotment>
computeAllotment(std::span<const std::uint32_t> SlotsByTarget,
                 const PeerGroupDemand &Group);

} // namespace cranberryspool::capacity

#endif // CRANBERRYSPOOL_CAPACITY_COMPUTEALLOTMENT_H
