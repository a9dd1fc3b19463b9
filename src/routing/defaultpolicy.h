#ifndef CRANBERRYSPOOL_ROUTING_DEFAULTPOLICY_H
#define CRANBERRYSPOOL_ROUTING_DEFAULTPOLICY_H

#include "routing/policies/reportedloadpolicy.h"

namespace cranberryspool::routing {

/// The policy that instances use. docs/DESIGN.md compares it with the other
/// policies.
using DefaultPolicy = ReportedLoadPolicy;

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_DEFAULTPOLICY_H
