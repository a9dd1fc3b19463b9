#ifndef CRANBERRYSPOOL_REPORT_TYPES_BURNALARM_H
#define CRANBERRYSPOOL_REPORT_TYPES_BURNALARM_H

#include <string_view>

namespace cranberryspool::report {

/// How soon somebody has to act on the burn of an error budget.
enum class BurnAlert {
  /// No call ended in the longest window.
  NoCalls,
  /// The budget lasts.
  None,
  /// The budget will not last: act within days.
  Ticket,
  /// The budget is going fast: act now.
  Page
};

/// Returns the alarm as tools print it, such as `page`.
std::string_view burnAlarmName(BurnAlert Alarm);

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_TYPES_BURNALARM_H
