#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_EVENTCONTEXT_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_EVENTCONTEXT_H

#include "decision/action.h"
#include "framework/moment.h"

namespace cranberryspool::decision {

/// The handling of one event: when it is handled and where its actions go.
struct Step {
  framework::Moment Now_;
  ActionList &Output_;

  framework::Instant now() const { return Now_.Monotonic_; }
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_EVENTCONTEXT_H
