#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_ENVIRONMENTDOCUMENT_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_ENVIRONMENTDOCUMENT_H

#include "document/types/callerlimits.h"
#include "document/types/route.h"
#include "document/types/service.h"
#include "document/types/workspace.h"
#include "document/types/zone.h"
#include "framework/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cranberryspool::document {

/// The configuration that operators declare for an environment. It contains no
/// value specific to one environment, so that a document tested in a trial
/// environment can be promoted to another one unchanged.
struct EnvironmentDocument {
  std::vector<Zone> Zones_;
  std::vector<Service> Services_;
  /// If not empty, requests are matched by these routes instead of by the kinds
  /// of the services.
  std::vector<Route> Routes_;
  /// If not empty, a request must carry the key of a workspace, unless its
  /// route is open to requests without a key.
  std::vector<Workspace> Workspaces_;
  /// If absent, each instance uses the limits of its own settings.
  std::optional<CallerLimits> CallerLimits_;
  /// The maximum number of instances that run at the same time. An instance's
  /// share of a fleet-wide limit is never computed from a smaller number.
  std::uint32_t MaxInstances_ = 1;
  /// The maximum staleness of the platform's list of instances.
  framework::Duration ListLag_{};

  friend bool operator==(const EnvironmentDocument &,
                         const EnvironmentDocument &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_ENVIRONMENTDOCUMENT_H
