#ifndef CRANBERRYSPOOL_CAPACITY_TYPES_DEMANDUPDATE_H
#define CRANBERRYSPOOL_CAPACITY_TYPES_DEMANDUPDATE_H

#include "capacity/types/servicedemand.h"
#include "framework/ids.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cranberryspool::capacity {

/// Tells the peer group the demand that an instance has for each service. A
/// service that is not listed has none. Updates are ordered by (incarnation,
/// sequence).
struct DemandUpdate {
  /// Keeps a message within one datagram.
  static constexpr std::size_t MaxServices = 24;

  framework::InstanceName From_;
  framework::Incarnation Incarnation_;
  std::uint64_t Sequence_ = 0;
  std::vector<ServiceDemand> Services_;

  friend bool operator==(const DemandUpdate &, const DemandUpdate &) = default;
};

} // namespace cranberryspool::capacity

#endif // CRANBERRYSPOOL_CAPACITY_TYPES_DEMANDUPDATE_H
