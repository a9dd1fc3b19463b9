#ifndef CRANBERRYSPOOL_ENTRY_TYPES_DISPATCHINPUT_H
#define CRANBERRYSPOOL_ENTRY_TYPES_DISPATCHINPUT_H

#include "decision/event.h"
#include "entry/types/callerrequest.h"
#include "entry/types/inspection.h"
#include "entry/types/refusedrequest.h"
#include "entry/types/targetresponse.h"

#include <memory>
#include <optional>

namespace cranberryspool::entry {

/// An event for the core, with the HTTP message that belongs to it. The core
/// does not see messages; the dispatcher holds them.
struct DispatchInput {
  decision::Event Event_;
  /// The caller's request; set for `CallArrived`.
  std::shared_ptr<const CallerRequest> Request_;
  /// The target's response; set for `AttemptAnswered` and `KeptAnswerFetched`.
  std::shared_ptr<const TargetResponse> Response_;
  /// A function that is called, when set, instead of handling the event.
  Inspection Inspect_;
  /// A request that never became a call; logged and counted, when set, instead
  /// of handling the event.
  std::optional<RefusedRequest> Refused_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_DISPATCHINPUT_H
