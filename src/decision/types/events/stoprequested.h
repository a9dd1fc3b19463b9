#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_STOPREQUESTED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_STOPREQUESTED_H

namespace cranberryspool::decision {

/// The operator requested a graceful stop, which completes all accepted calls.
struct StopRequested {};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_STOPREQUESTED_H
