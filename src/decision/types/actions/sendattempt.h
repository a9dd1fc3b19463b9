#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_SENDATTEMPT_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_SENDATTEMPT_H

#include "decision/types/forwardinginstance.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>
#include <optional>

namespace cranberryspool::decision {

/// Send the call's request on an open connection that carries no other attempt.
struct SendAttempt {
  framework::AttemptId Attempt_;
  framework::CallId Call_;
  framework::ConnectionId Connection_;
  framework::TargetId Target_;
  /// The remaining time for the answer, as sent to the target.
  framework::Duration Timeout_{};
  /// The call depth sent to the target.
  std::uint32_t Depth_ = 0;
  /// The attempt number sent to the target; 1 for the first attempt.
  std::uint32_t AttemptMark_ = 1;
  framework::TargetName TargetName_ = {};
  /// The workspace of the call; empty when it has none.
  framework::WorkspaceName Workspace_ = {};
  /// Whether the caller's own credential and workspace field are forwarded
  /// unchanged, because the document has no workspaces.
  bool IsCredentialForwarded_ = true;
  /// This instance, when the call is forwarded to another one instead of a
  /// target.
  std::optional<ForwardingInstance> ForwardedBy_ = std::nullopt;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_SENDATTEMPT_H
