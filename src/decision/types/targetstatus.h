#ifndef CRANBERRYSPOOL_DECISION_TYPES_TARGETSTATUS_H
#define CRANBERRYSPOOL_DECISION_TYPES_TARGETSTATUS_H

#include "decision/types/targetcondition.h"
#include "framework/ids.h"

#include <cstdint>

namespace cranberryspool::decision {

/// The state of a target as seen by an instance.
struct TargetStatus {
  framework::TargetName Target_;
  framework::ServiceName Service_;
  framework::ZoneName Zone_;
  TargetCondition Condition_ = TargetCondition::InService;
  /// Attempts of this instance that have not ended.
  std::uint32_t InFlight_ = 0;
  /// Connections of this instance, including those being opened.
  std::uint32_t Connections_ = 0;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_TARGETSTATUS_H
