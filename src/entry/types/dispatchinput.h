#ifndef CRANBERRYSPOOL_ENTRY_TYPES_DISPATCHINPUT_H
#define CRANBERRYSPOOL_ENTRY_TYPES_DISPATCHINPUT_H

#include "decision/event.h"
#include "entry/types/callerrequest.h"
#include "entry/types/inspection.h"
#include "entry/types/targetanswer.h"

#include <memory>

namespace cranberryspool::entry {

/// An event for the core with the message that the shell keeps beside it.
struct DispatchInput {
  decision::Event Event_;
  /// Given with `CallArrived`.
  std::shared_ptr<const CallerRequest> Request_;
  /// Given with `AttemptAnswered` and `KeptAnswerFetched`.
  std::shared_ptr<const TargetAnswer> Answer_;
  /// When set, called instead of handling the event.
  Inspection Inspect_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_DISPATCHINPUT_H
