#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REPORTATTEMPTEND_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REPORTATTEMPTEND_H

#include "calls/types/attemptfailure.h"
#include "calls/types/documentorigin.h"
#include "calls/types/requestfingerprint.h"
#include "framework/ids.h"
#include "framework/time.h"
#include "routing/types/attemptresult.h"

#include <memory>
#include <optional>

namespace cranberryspool::decision {

/// Log the end of an attempt.
struct ReportAttemptEnd {
  framework::CallId Call_;
  framework::AttemptId Attempt_;
  framework::TargetName Target_;
  routing::AttemptResult Result_ = routing::AttemptResult::TimedOut;
  /// The time since the attempt was started.
  framework::Duration Elapsed_{};
  calls::RequestFingerprint Fingerprint_ = {};
  /// Set if the attempt failed in the transport.
  std::optional<calls::AttemptFailure> Failure_ = std::nullopt;
  std::shared_ptr<const calls::DocumentOrigin> DecidedBy_ = nullptr;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REPORTATTEMPTEND_H
