#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REPORTATTEMPT_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REPORTATTEMPT_H

#include "calls/types/attemptkind.h"
#include "framework/ids.h"
#include "framework/time.h"
#include "routing/types/loadreport.h"

#include <cstdint>
#include <optional>

namespace cranberryspool::decision {

/// Log the start of an attempt together with the state of the target on which
/// the choice was based.
struct ReportAttempt {
  framework::CallId Call_;
  framework::AttemptId Attempt_;
  framework::TargetName Target_;
  framework::ZoneName Zone_;
  calls::AttemptKind Kind_ = calls::AttemptKind::First;
  /// The last load report of the target.
  routing::LoadReport LastReport_;
  std::optional<framework::Duration> ReportAge_;
  bool IsCold_ = false;
  /// The attempts of this instance in flight at the target before this one.
  std::uint32_t InFlight_ = 0;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REPORTATTEMPT_H
