#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_ATTEMPTANSWERED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_ATTEMPTANSWERED_H

#include "framework/ids.h"
#include "routing/types/loadreport.h"

#include <cstdint>
#include <optional>

namespace cranberryspool::decision {

/// A whole answer was read on the connection of an attempt. The shell keeps
/// its head and body until the call has ended.
struct AttemptAnswered {
  framework::AttemptId Attempt_;
  framework::ConnectionId Connection_;
  /// The attempt that the target says it answers, when it says so.
  std::optional<framework::AttemptId> EchoedAttempt_;
  std::uint32_t Status_ = 0;
  /// True when the target says that the request did not run.
  bool IsNotRun_ = false;
  std::optional<routing::LoadReport> Report_;
  std::optional<framework::Incarnation> StartId_;
  /// False when the connection cannot carry another request.
  bool IsReusable_ = true;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_ATTEMPTANSWERED_H
