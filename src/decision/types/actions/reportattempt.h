#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REPORTATTEMPT_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REPORTATTEMPT_H

#include "calls/types/attemptkind.h"
#include "calls/types/budgetuse.h"
#include "calls/types/documentorigin.h"
#include "framework/ids.h"
#include "framework/time.h"
#include "routing/types/attemptresult.h"
#include "routing/types/loadreport.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace cranberryspool::decision {

/// Log that an attempt was sent, or that it waits for a connection, together
/// with the state of its target at that time.
struct ReportAttempt {
  framework::CallId Call_;
  framework::AttemptId Attempt_;
  framework::TargetName Target_;
  framework::ZoneName Zone_;
  calls::AttemptKind Kind_ = calls::AttemptKind::First;
  /// False while the attempt waits for a connection.
  bool IsSent_ = false;
  /// The time since the target was chosen.
  framework::Duration Waited_{};
  /// The attempts of the call that were sent, including this one if it was.
  std::uint32_t SentAttempts_ = 0;
  /// The maximum number of attempts of the call.
  std::uint32_t MaxAttempts_ = 0;
  /// The last load report of the target.
  routing::LoadReport LastReport_;
  std::optional<framework::Duration> ReportAge_;
  bool IsCold_ = false;
  /// True when the record of the target is missing from the store.
  bool IsUnconfirmed_ = false;
  /// The rate that the target accepts from all instances together.
  routing::RequestRate RequestLimit_ = routing::RequestRate::unlimited();
  /// The attempts of this instance in flight at the target before this one.
  std::uint32_t InFlight_ = 0;
  /// How the attempt before a retry ended.
  std::optional<routing::AttemptResult> Previous_ = std::nullopt;
  /// The budget of extra attempts, this one included; for a retry or a hedge.
  std::optional<calls::BudgetUse> Budget_ = std::nullopt;
  std::shared_ptr<const calls::DocumentOrigin> DecidedBy_ = nullptr;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REPORTATTEMPT_H
