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

/// A service: its request kinds, its target groups and its limits.
struct Service {
  framework::ServiceName Name_;
  std::vector<RequestKind> Kinds_;
  std::vector<TargetGroup> Groups_;
  /// The number of requests that one target processes concurrently.
  std::uint32_t SlotsPerTarget_ = 1;
  /// The maximum number of open connections to one target, summed over all
  /// instances.
  std::uint32_t ConnectionsPerTarget_ = 1;
  /// The maximum number of probes sent to one target per minute, summed over
  /// all instances.
  std::uint32_t ProbesPerTargetPerMinute_ = 1;
  /// The path of the targets' health check; empty when they have none.
  std::string HealthPath_;
  ColdStartLimits ColdStart_;
  std::vector<Objective> Objectives_;

  friend bool operator==(const Service &, const Service &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_SERVICE_H
