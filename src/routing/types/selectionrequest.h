#ifndef CRANBERRYSPOOL_ROUTING_TYPES_SELECTIONREQUEST_H
#define CRANBERRYSPOOL_ROUTING_TYPES_SELECTIONREQUEST_H

#include "document/types/urgency.h"
#include "framework/ids.h"

#include <cstdint>
#include <span>
#include <vector>

namespace cranberryspool::routing {

/// Properties of the attempt for which a target is selected.
struct SelectionRequest {
  framework::ServiceId Service_;
  document::Urgency Urgency_ = document::Urgency::Ordinary;
  /// Targets that earlier attempts of the same call have used.
  std::vector<framework::TargetId> Excluded_ = {};
  /// True when an excluded target may be chosen if no other one can take the
  /// attempt.
  bool MayRepeat_ = false;
  /// True when the call can do without the attempt, which then goes to no
  /// unconfirmed target.
  bool IsOptional_ = false;
  /// The number of idle connections of this instance, indexed by target id.
  /// Targets beyond the end have none.
  std::span<const std::uint32_t> IdleConnections_ = {};
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_TYPES_SELECTIONREQUEST_H
