#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_ANSWERCALL_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_ANSWERCALL_H

#include "framework/ids.h"

namespace cranberryspool::decision {

/// Send the caller the answer that was received for the attempt. Ends the call.
struct AnswerCall {
  framework::CallId Call_;
  framework::AttemptId Attempt_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_ANSWERCALL_H
