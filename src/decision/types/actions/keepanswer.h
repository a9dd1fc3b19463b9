#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_KEEPANSWER_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_KEEPANSWER_H

#include "framework/ids.h"

namespace cranberryspool::decision {

/// Keep a copy of the answer of a keyed call for peers to fetch.
struct KeepAnswer {
  framework::CallId Call_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_KEEPANSWER_H
