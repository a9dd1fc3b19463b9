#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_CALLERGONE_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_CALLERGONE_H

#include "framework/ids.h"

namespace cranberryspool::decision {

/// The caller closed its connection before it received the answer.
struct CallerGone {
  framework::CallId Call_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_CALLERGONE_H
