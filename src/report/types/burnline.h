#ifndef CRANBERRYSPOOL_REPORT_TYPES_BURNLINE_H
#define CRANBERRYSPOOL_REPORT_TYPES_BURNLINE_H

#include "document/types/objective.h"
#include "report/types/burnkey.h"
#include "report/types/burnwindow.h"
#include "report/types/windowburn.h"

#include <array>

namespace cranberryspool::report {

/// The verdict on one service-level objective.
struct BurnLine {
  ObjectiveKey Key_;
  document::Objective Objective_;
  /// In the order of `BurnWindows`.
  std::array<WindowBurn, BurnWindows.size()> Windows_;
  BurnAlert Alarm_ = BurnAlert::NoCalls;
};

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_TYPES_BURNLINE_H
