#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDSUNAVAILABLE_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDSUNAVAILABLE_H

namespace cranberryspool::decision {

/// A read or watch of the platform's metadata store failed or timed out.
struct RecordsUnavailable {};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDSUNAVAILABLE_H
