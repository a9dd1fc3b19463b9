#ifndef CRANBERRYSPOOL_STANDINS_TARGETFAULTS_H
#define CRANBERRYSPOOL_STANDINS_TARGETFAULTS_H

#include "framework/time.h"

namespace cranberryspool::standins {

/// What is wrong with a target at present; the defaults mean nothing.
struct TargetFaults {
  /// Service times are multiplied by this.
  double SlowFactor_ = 1.0;
  /// Every request is answered with 500 at once, without running.
  bool IsFailingFast_ = false;
  /// Answers that are ready together go to each other's connections.
  bool IsCrossing_ = false;
  /// Answers are cut in the middle.
  bool IsTruncating_ = false;
  /// Reports tell an idle target whatever its load is.
  bool IsReportMisleading_ = false;
  bool IsDraining_ = false;
  /// Answers leave this much later than they are ready.
  framework::Duration AnswerDelay_{};
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_TARGETFAULTS_H
