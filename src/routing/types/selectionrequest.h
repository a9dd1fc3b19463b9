#ifndef CRANBERRYSPOOL_ROUTING_TYPES_SELECTIONREQUEST_H
#define CRANBERRYSPOOL_ROUTING_TYPES_SELECTIONREQUEST_H

#include "document/types/urgency.h"
#include "framework/ids.h"

#include <cstdint>
#include <span>
#include <vector>

namespace cranberryspool::routing {

/// What a policy needs to know of the attempt that it chooses a target for.
struct SelectionRequest {
  framework::ServiceId Service_;
  document::Urgency Urgency_ = document::Urgency::Ordinary;
  /// Targets that earlier attempts of the call have used.
  std::vector<framework::TargetId> Excluded_ = {};
  /// This instance's idle connections, by the value of the target's id. Targets
  /// beyond its end have none.
  std::span<const std::uint32_t> IdleConnections_ = {};
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_TYPES_SELECTIONREQUEST_H
