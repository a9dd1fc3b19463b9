#ifndef CRANBERRYSPOOL_REPORT_TYPES_BURNWINDOW_H
#define CRANBERRYSPOOL_REPORT_TYPES_BURNWINDOW_H

#include "framework/time.h"
#include "report/types/burnalarm.h"

#include <array>
#include <chrono>

namespace cranberryspool::report {

/// A pair of windows that raises an alarm when the burn rate of both is at
/// least the threshold. The long window shows that it matters, the short one
/// that it still goes on.
struct BurnWindow {
  framework::Duration Short_;
  framework::Duration Long_;
  /// A burn rate of 1 uses up the error budget exactly in its period.
  double Threshold_;
  BurnAlert Alarm_;
};

/// The windows and thresholds of The Site Reliability Workbook, chapter 5, for
/// a budget period of 30 days.
inline constexpr std::array<BurnWindow, 3> BurnWindows = {
    {{std::chrono::minutes(5), std::chrono::hours(1), 14.4, BurnAlert::Page},
     {std::chrono::minutes(30), std::chrono::hours(6), 6.0, BurnAlert::Page},
     {std::chrono::hours(6), std::chrono::hours(72), 1.0, BurnAlert::Ticket}}};

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_TYPES_BURNWINDOW_H
