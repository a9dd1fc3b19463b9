#ifndef CRANBERRYSPOOL_FLEET_TYPES_STOREAVAILABILITY_H
#define CRANBERRYSPOOL_FLEET_TYPES_STOREAVAILABILITY_H

#include "framework/ids.h"
#include "framework/time.h"

namespace cranberryspool::fleet {

/// Tells an instance that misses changes for how long the platform's metadata
/// store has been available, so that it does not take the gap in its own view
/// for an outage.
struct StoreAvailability {
  framework::InstanceName From_;
  framework::Incarnation Incarnation_;
  /// The time since the store last answered, as far as the sender knows.
  framework::Duration Age_{};
  /// The time since the first answer after which there was no outage in which
  /// records may have been lost.
  framework::Duration AvailableFor_{};

  friend bool operator==(const StoreAvailability &,
                         const StoreAvailability &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_STOREAVAILABILITY_H
