#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_KEEPANSWER_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_KEEPANSWER_H

#include "framework/ids.h"

namespace cranberryspool::decision {

/// Keep a copy of the answer of a call with an idempotency key, so that peers
/// can fetch it.
struct KeepAnswer {
  framework::CallId Call_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_KEEPANSWER_H
