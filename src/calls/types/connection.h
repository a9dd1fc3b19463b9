#ifndef CRANBERRYSPOOL_CALLS_TYPES_CONNECTION_H
#define CRANBERRYSPOOL_CALLS_TYPES_CONNECTION_H

#include "calls/types/connectionstate.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <optional>

namespace cranberryspool::calls {

/// A transport connection to a target.
struct Connection {
  framework::ConnectionId Connection_;
  framework::TargetId Target_;
  ConnectionState State_ = ConnectionState::Opening;
  /// The attempt on it while it is busy.
  std::optional<framework::AttemptId> CurrentAttempt_;
  /// When the target was last heard on it; the set-up counts.
  framework::Instant LastActivity_{};
  /// When it began to open.
  framework::Instant OpenedAt_{};
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_CONNECTION_H
