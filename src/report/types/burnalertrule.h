#ifndef CRANBERRYSPOOL_REPORT_TYPES_BURNALERTRULE_H
#define CRANBERRYSPOOL_REPORT_TYPES_BURNALERTRULE_H

#include "framework/time.h"
#include "report/types/burnalert.h"

#include <array>
#include <chrono>

namespace cranberryspool::report {

/// A multiwindow burn-rate alert rule. It fires if the burn rates over both
/// windows are at least the threshold: the long window shows that a significant
/// part of the budget is used up, the short one that the burn is still going
/// on.
struct BurnAlertRule {
  framework::Duration ShortWindow_;
  framework::Duration LongWindow_;
  /// The burn rate at which the rule fires. A burn rate of 1 uses up the error
  /// budget exactly at the end of its period.
  double Threshold_;
  BurnAlert Alert_;
};

/// The windows and thresholds recommended by The Site Reliability Workbook,
/// chapter 5, for a budget period of 30 days.
inline constexpr std::array<BurnAlertRule, 3> BurnAlertRules = {
    {{std::chrono::minutes(5), std::chrono::hours(1), 14.4, BurnAlert::Page},
     {std::chrono::minutes(30), std::chrono::hours(6), 6.0, BurnAlert::Page},
     {std::chrono::hours(6), std::chrono::hours(72), 1.0, BurnAlert::Ticket}}};

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_TYPES_BURNALERTRULE_H
