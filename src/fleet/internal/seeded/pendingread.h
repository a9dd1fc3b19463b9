#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_PENDINGREAD_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_PENDINGREAD_H

#include "framework/ids.h"
#include "framework/time.h"

namespace cranberryspool::fleet {

/// A read of the platform's metadata store that has not ended.
struct PendingRead {
  framework::Instant StartedAt_{};
  /// How long the store may hold the read.
  framework::Duration Wait_{};
  /// Only the changes after this revision are read.
  framework::Revision After_{};
  /// The newest revision that was known when the read began.
  framework::Revision Known_{};
  /// Whether the store may answer with stale records.
  bool IsStaleAllowed_ = false;
  /// Whether a large answer has begun to arrive.
  bool IsArriving_ = false;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_PENDINGREAD_H
