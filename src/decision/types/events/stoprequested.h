#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_STOPREQUESTED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_STOPREQUESTED_H

namespace cranberryspool::decision {

/// The operator asked the instance to stop without cutting a call.
struct StopRequested {};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_STOPREQUESTED_H
