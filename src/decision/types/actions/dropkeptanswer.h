#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_DROPKEPTANSWER_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_DROPKEPTANSWER_H

#include "framework/ids.h"

namespace cranberryspool::decision {

/// Delete a kept answer.
struct DropKeptAnswer {
  framework::CallId Call_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_DROPKEPTANSWER_H
