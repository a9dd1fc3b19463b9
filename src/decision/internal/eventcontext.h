#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_EVENTCONTEXT_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_EVENTCONTEXT_H

#include "decision/action.h"
#include "framework/moment.h"

namespace cranberryspool::decision {

/// The context in which one event is handled: its time and the list that
/// receives the resulting actions.
struct EventContext {
  framework::Moment Now_;
  ActionList &Output_;

  framework::Instant now() const { return Now_.Monotonic_; }
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_EVENTCONTEXT_H
