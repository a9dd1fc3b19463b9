#ifndef CRANBERRYSPOOL_STANDINS_TARGETFAULTS_H
#define CRANBERRYSPOOL_STANDINS_TARGETFAULTS_H

#include "framework/time.h"

namespace cranberryspool::standins {

/// The faults injected into a target. The default values inject none.
struct TargetFaults {
  /// The factor by which service times are multiplied.
  double SlowFactor_ = 1.0;
  /// Every request is answered immediately with status 500, without being run.
  bool IsFailingFast_ = false;
  /// Two responses that are ready at about the same time are sent on each
  /// other's connections.
  bool IsSwappingResponses_ = false;
  /// Responses are truncated to their first half.
  bool IsTruncatingResponses_ = false;
  /// Load reports describe an idle target, whatever its load is.
  bool IsReportingIdle_ = false;
  /// Load reports say that the target is draining.
  bool IsDraining_ = false;
  /// The delay between the completion of a response and its sending.
  framework::Duration ResponseDelay_{};
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_TARGETFAULTS_H
