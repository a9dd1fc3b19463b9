#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REPLAYKEPTANSWER_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REPLAYKEPTANSWER_H

#include "framework/ids.h"

namespace cranberryspool::decision {

/// Send the caller the kept answer that was fetched for the call. Ends the
/// call.
struct ReplayKeptAnswer {
  framework::CallId Call_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REPLAYKEPTANSWER_H
