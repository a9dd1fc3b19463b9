#ifndef CRANBERRYSPOOL_ADMISSION_TYPES_QUEUEDCALL_H
#define CRANBERRYSPOOL_ADMISSION_TYPES_QUEUEDCALL_H

#include "document/types/urgency.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>
#include <optional>

namespace cranberryspool::admission {

/// A call that is offered to the admission queue.
struct QueuedCall {
  framework::CallId Call_;
  framework::ServiceId Service_;
  document::Urgency Urgency_ = document::Urgency::Ordinary;
  framework::Instant Arrival_{};
  framework::Instant Deadline_{};
  /// A call that starts later than this is expected to miss its latency
  /// objective.
  framework::Instant LatestTimelyStart_ = framework::Instant::max();
  /// The rank within the urgency class; 0 starts first.
  std::uint32_t Priority_ = 0;
  /// The workspace that the call belongs to; nothing when it has none.
  std::optional<framework::WorkspaceId> Workspace_ = std::nullopt;
  /// The request kind, its latency objective and the expected run time; zero
  /// where there is none or it is not known. Used for services whose calls are
  /// ordered by the cost to callers only.
  std::uint32_t Kind_ = 0;
  framework::Duration Objective_{};
  framework::Duration ExpectedWork_{};

  bool hasObjective() const {
    return LatestTimelyStart_ != framework::Instant::max();
  }
};

} // namespace cranberryspool::admission

#endif // CRANBERRYSPOOL_ADMISSION_TYPES_QUEUEDCALL_H
