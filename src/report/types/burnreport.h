#ifndef CRANBERRYSPOOL_REPORT_TYPES_BURNREPORT_H
#define CRANBERRYSPOOL_REPORT_TYPES_BURNREPORT_H

#include "framework/time.h"
#include "report/types/burnline.h"

#include <vector>

namespace cranberryspool::report {

/// The verdicts on all service-level objectives at one time.
struct BurnReport {
  framework::WallTime Now_;
  /// Sorted by service and urgency.
  std::vector<BurnLine> Lines_;
  /// What was counted although no objective covers it.
  std::vector<ObjectiveKey> WithoutObjective_;

  /// Returns the most pressing alarm.
  BurnAlert highestAlert() const;
};

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_TYPES_BURNREPORT_H
