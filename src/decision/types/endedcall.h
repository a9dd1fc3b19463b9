#ifndef CRANBERRYSPOOL_DECISION_TYPES_ENDEDCALL_H
#define CRANBERRYSPOOL_DECISION_TYPES_ENDEDCALL_H

#include "calls/types/documentorigin.h"
#include "calls/types/ending.h"
#include "calls/types/endingreason.h"
#include "calls/types/requestfingerprint.h"
#include "document/types/urgency.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace cranberryspool::decision {

/// A call that has ended, for statistics.
struct EndedCall {
  framework::CallId Call_;
  framework::ServiceName Service_;
  document::Urgency Urgency_ = document::Urgency::Ordinary;
  calls::Ending Ending_ = calls::Ending::NotRun;
  /// The status code of the last answer; 0 if there was none.
  std::uint32_t Status_ = 0;
  /// The time since the complete request was received.
  framework::Duration Elapsed_{};
  bool IsCallerGone_ = false;
  calls::EndingReason Reason_ = calls::EndingReason::None;
  /// The number of attempts that were sent on a connection.
  std::uint32_t Attempts_ = 0;
  framework::KindName Kind_;
  calls::RequestFingerprint Fingerprint_ = {};
  /// Empty when the call belongs to no workspace.
  framework::WorkspaceName Workspace_ = {};
  /// How long the instance had been stopping; unset when it was not.
  std::optional<framework::Duration> StoppingFor_ = std::nullopt;
  /// True if an attempt might still have been running at a target.
  bool IsAtTarget_ = false;
  std::shared_ptr<const calls::DocumentOrigin> DecidedBy_ = nullptr;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ENDEDCALL_H
