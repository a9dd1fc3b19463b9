#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_COLDSTARTLIMITS_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_COLDSTARTLIMITS_H

#include "framework/time.h"

#include <cstdint>

namespace cranberryspool::document {

/// The work that a target bears while it is cold, summed over all instances.
struct ColdStartLimits {
  /// Requests in flight at most.
  std::uint32_t MaxInFlight_ = 1;
  /// How long a target counts as cold after its start.
  framework::Duration Warmup_{};
  /// Requests a second at most; 0 when only `MaxInFlight_` bounds them.
  double MaxRequestsPerSecond_ = 0;

  friend bool operator==(const ColdStartLimits &,
                         const ColdStartLimits &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_COLDSTARTLIMITS_H
