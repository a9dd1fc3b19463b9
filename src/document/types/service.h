#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_SERVICE_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_SERVICE_H

#include "document/types/coldstartlimits.h"
#include "document/types/objective.h"
#include "document/types/requestkind.h"
#include "document/types/targetgroup.h"
#include "framework/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryspool::document {

/// A service: its kinds of request, its groups of targets and its limits.
struct Service {
  framework::ServiceName Name_;
  std::vector<RequestKind> Kinds_;
  std::vector<TargetGroup> Groups_;
  /// Requests that one target works on at once.
  std::uint32_t SlotsPerTarget_ = 1;
  /// Open connections that one target bears, summed over all instances.
  std::uint32_t ConnectionsPerTarget_ = 1;
  /// Probes that one target bears in a minute, summed over all instances.
  std::uint32_t ProbesPerTargetPerMinute_ = 1;
  /// Where targets tell their health; empty when they do not.
  std::string HealthPath_;
  ColdStartLimits ColdStart_;
  std::vector<Objective> Objectives_;

  friend bool operator==(const Service &, const Service &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_SERVICE_H
