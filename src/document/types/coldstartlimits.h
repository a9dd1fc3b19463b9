#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_COLDSTARTLIMITS_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_COLDSTARTLIMITS_H

#include "framework/time.h"

#include <cstdint>

namespace cranberryspool::document {

/// Limits on the load of a target that has recently started (a cold target),
/// summed over all instances.
struct ColdStartLimits {
  /// The maximum number of requests in flight.
  std::uint32_t MaxInFlight_ = 1;
  /// The time after its start for which a target is treated as cold.
  framework::Duration Warmup_{};
  /// The maximum request rate, or 0 when only `MaxInFlight_` applies.
  double MaxRequestsPerSecond_ = 0;

  friend bool operator==(const ColdStartLimits &,
                         const ColdStartLimits &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_COLDSTARTLIMITS_H
