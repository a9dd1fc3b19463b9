#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_ATTEMPTFAILED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_ATTEMPTFAILED_H

#include "calls/types/attemptfailure.h"
#include "calls/types/writestate.h"
#include "framework/ids.h"

namespace cranberryspool::decision {

/// An attempt failed at the transport level; its connection is closed.
struct AttemptFailed {
  framework::AttemptId Attempt_;
  framework::ConnectionId Connection_;
  calls::AttemptFailure Failure_ = calls::AttemptFailure::ConnectionClosed;
  calls::WriteState Written_ = calls::WriteState::MaybeWritten;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_ATTEMPTFAILED_H
