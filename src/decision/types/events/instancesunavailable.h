#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_INSTANCESUNAVAILABLE_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_INSTANCESUNAVAILABLE_H

namespace cranberryspool::decision {

/// A read or watch of the platform's instance list failed or timed out.
struct InstancesUnavailable {};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_INSTANCESUNAVAILABLE_H
