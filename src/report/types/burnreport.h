#ifndef CRANBERRYSPOOL_REPORT_TYPES_BURNREPORT_H
#define CRANBERRYSPOOL_REPORT_TYPES_BURNREPORT_H

#include "framework/time.h"
#include "report/types/objectivereport.h"

#include <vector>

namespace cranberryspool::report {

/// The burn rates and alerts of all service-level objectives at one time.
struct BurnReport {
  framework::WallTime Now_;
  /// Sorted by service and urgency.
  std::vector<ObjectiveReport> ObjectiveReports_;
  /// Keys that have call counts but no objective.
  std::vector<ObjectiveKey> KeysWithoutObjective_;

  /// Returns the highest alert of all objectives, or `NoCalls` without
  /// objectives.
  BurnAlert highestAlert() const;
};

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_TYPES_BURNREPORT_H
