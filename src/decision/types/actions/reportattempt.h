#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REPORTATTEMPT_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REPORTATTEMPT_H

#include "calls/types/attemptkind.h"
#include "framework/ids.h"
#include "framework/time.h"
#include "routing/types/loadreport.h"

#include <cstdint>
#include <optional>

namespace cranberryspool::decision {

/// An attempt was decided on, with what was known of the target, for the log.
struct ReportAttempt {
  framework::CallId Call_;
  framework::AttemptId Attempt_;
  framework::TargetName Target_;
  framework::ZoneName Zone_;
  calls::AttemptKind Kind_ = calls::AttemptKind::First;
  /// The target's last report, and its age; nothing when there is none.
  routing::LoadReport LastReport_;
  std::optional<framework::Duration> ReportAge_;
  bool IsCold_ = false;
  /// This instance's attempts in flight at the target before this one.
  std::uint32_t InFlight_ = 0;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REPORTATTEMPT_H
