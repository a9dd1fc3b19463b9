#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_SUPERSEDED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_SUPERSEDED_H

namespace cranberryspool::fleet {

/// A newer incarnation of this instance is alive: this one must not act.
struct Superseded {};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_SUPERSEDED_H
