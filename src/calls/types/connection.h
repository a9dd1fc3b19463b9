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
  /// The attempt that uses the connection while it is busy.
  std::optional<framework::AttemptId> CurrentAttempt_;
  /// The time at which the target last sent something on the connection, or at
  /// which it was opened.
  framework::Instant LastActivity_{};
  /// The time at which opening the connection began.
  framework::Instant OpenedAt_{};
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_CONNECTION_H
