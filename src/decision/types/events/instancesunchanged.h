#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_INSTANCESUNCHANGED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_INSTANCESUNCHANGED_H

namespace cranberryspool::decision {

/// A watch of the platform's instance list ended without a newer revision.
struct InstancesUnchanged {};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_INSTANCESUNCHANGED_H
