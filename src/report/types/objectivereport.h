#ifndef CRANBERRYSPOOL_REPORT_TYPES_OBJECTIVEREPORT_H
#define CRANBERRYSPOOL_REPORT_TYPES_OBJECTIVEREPORT_H

#include "document/types/objective.h"
#include "report/types/burnalertrule.h"
#include "report/types/objectivekey.h"
#include "report/types/ruleevaluation.h"

#include <array>

namespace cranberryspool::report {

/// The burn rates of one service-level objective and the alert that they raise.
struct ObjectiveReport {
  ObjectiveKey Key_;
  document::Objective Objective_;
  /// The results of the alert rules, in the order of `BurnAlertRules`.
  std::array<RuleEvaluation, BurnAlertRules.size()> Evaluations_;
  /// The highest alert whose rule fires; `NoCalls` or `None` if there is none.
  BurnAlert Alert_ = BurnAlert::NoCalls;
};

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_TYPES_OBJECTIVEREPORT_H
