#ifndef CRANBERRYSPOOL_REPORT_TYPES_BURNALERT_H
#define CRANBERRYSPOOL_REPORT_TYPES_BURNALERT_H

#include <string_view>

namespace cranberryspool::report {

/// The severity of an alert on the burn rate of an error budget, in ascending
/// order.
enum class BurnAlert {
  /// No call ended in the longest window, so there is no burn rate.
  NoCalls,
  /// No alert rule fires.
  None,
  /// The budget will run out before its period ends: act within days.
  Ticket,
  /// The budget is being used up fast: act immediately.
  Page
};

/// Returns the name used in the output of tools, such as `page`.
std::string_view burnAlertName(BurnAlert Alert);

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_TYPES_BURNALERT_H
