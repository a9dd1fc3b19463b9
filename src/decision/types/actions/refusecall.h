#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REFUSECALL_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REFUSECALL_H

#include "calls/types/ending.h"
#include "calls/types/endingreason.h"
#include "framework/ids.h"
#include "framework/time.h"

namespace cranberryspool::decision {

/// End the call without the answer of a target.
struct RefuseCall {
  framework::CallId Call_;
  calls::Ending Ending_ = calls::Ending::NotRun;
  calls::EndingReason Reason_ = calls::EndingReason::None;
  /// The time after which the caller may retry; zero if a retry makes no sense.
  framework::Duration RetryAfter_{};
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REFUSECALL_H
