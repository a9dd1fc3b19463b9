#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_ENVIRONMENTDOCUMENT_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_ENVIRONMENTDOCUMENT_H

#include "document/types/callerlimits.h"
#include "document/types/route.h"
#include "document/types/service.h"
#include "document/types/zone.h"
#include "framework/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cranberryspool::document {

/// What operators declare for an environment. It names nothing that belongs to
/// one environment only, so that a document proved in trial is promoted
/// unchanged.
struct EnvironmentDocument {
  std::vector<Zone> Zones_;
  std::vector<Service> Services_;
  /// When there are any, they decide instead of the kinds of the services.
  std::vector<Route> Routes_;
  /// The instances' own settings hold where there are none.
  std::optional<CallerLimits> CallerLimits_;
  /// The largest number of instances that may run at once; shares of
  /// fleet-wide bounds are never computed from fewer.
  std::uint32_t MaxInstances_ = 1;
  /// The longest time by which the platform's list may lag behind the truth.
  framework::Duration ListLag_{};

  friend bool operator==(const EnvironmentDocument &,
                         const EnvironmentDocument &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_ENVIRONMENTDOCUMENT_H
