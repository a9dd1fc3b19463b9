#ifndef CRANBERRYSPOOL_DECISION_TYPES_TARGETCONDITION_H
#define CRANBERRYSPOOL_DECISION_TYPES_TARGETCONDITION_H

namespace cranberryspool::decision {

/// Whether a target receives work from this instance.
enum class TargetCondition {
  InService,
  Cold,
  Ejected,
  /// The target or its availability zone is leaving.
  Leaving,
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_TARGETCONDITION_H
