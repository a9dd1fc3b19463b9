#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_ATTEMPTANSWERED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_ATTEMPTANSWERED_H

#include "framework/ids.h"
#include "routing/types/loadreport.h"

#include <cstdint>
#include <optional>

namespace cranberryspool::decision {

/// A complete answer was received on the connection of an attempt. The shell
/// keeps its head and body until the call has ended.
struct AttemptAnswered {
  framework::AttemptId Attempt_;
  framework::ConnectionId Connection_;
  /// The identifier of the attempt that the target states in its answer, if it
  /// states one.
  std::optional<framework::AttemptId> EchoedAttempt_;
  std::uint32_t Status_ = 0;
  /// True if the target states that it did not run the request.
  bool IsNotRun_ = false;
  std::optional<routing::LoadReport> Report_;
  std::optional<framework::Incarnation> StartId_;
  /// False if the connection cannot carry another request.
  bool IsReusable_ = true;
  /// The rate that the target accepts from all instances together, unlimited
  /// when it names none. Absent when the answer leaves that open.
  std::optional<routing::RequestRate> RequestLimit_ = std::nullopt;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_ATTEMPTANSWERED_H
