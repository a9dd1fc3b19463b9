#ifndef CRANBERRYSPOOL_FLEET_TYPES_VIEWREPLACED_H
#define CRANBERRYSPOOL_FLEET_TYPES_VIEWREPLACED_H

#include "framework/ids.h"

#include <cstdint>

namespace cranberryspool::fleet {

/// Tells other instances that the own store of the sender has contradicted its
/// view, which was replaced. They compare their views with their own stores.
/// Earlier builds reject it.
struct ViewReplaced {
  framework::InstanceName From_;
  framework::Incarnation Incarnation_;
  /// The revision that the store of the sender has stated.
  framework::Revision Revision_;
  /// Of all records at this revision, as in `RecordTable::digest`.
  std::uint64_t Digest_ = 0;

  friend bool operator==(const ViewReplaced &, const ViewReplaced &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_VIEWREPLACED_H
