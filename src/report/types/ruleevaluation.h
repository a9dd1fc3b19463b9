#ifndef CRANBERRYSPOOL_REPORT_TYPES_RULEEVALUATION_H
#define CRANBERRYSPOOL_REPORT_TYPES_RULEEVALUATION_H

#include "report/types/callcount.h"

namespace cranberryspool::report {

/// The result of one alert rule for one objective: calls and burn rates over
/// the two windows of the rule.
struct RuleEvaluation {
  CallCount ShortCount_;
  CallCount LongCount_;
  double ShortBurnRate_ = 0;
  double LongBurnRate_ = 0;
  /// Whether both burn rates are at least the threshold.
  bool IsFiring_ = false;
};

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_TYPES_RULEEVALUATION_H
