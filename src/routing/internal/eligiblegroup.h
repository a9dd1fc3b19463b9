#ifndef CRANBERRYSPOOL_ROUTING_INTERNAL_ELIGIBLEGROUP_H
#define CRANBERRYSPOOL_ROUTING_INTERNAL_ELIGIBLEGROUP_H

namespace cranberryspool::routing {

/// The eligible targets of a service by whether the list confirms that they are
/// there.
enum class EligibleGroup { Confirmed, Unconfirmed };

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_INTERNAL_ELIGIBLEGROUP_H
