#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_SUPERSEDED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_SUPERSEDED_H

namespace cranberryspool::fleet {

/// Reports that a newer incarnation of this instance is running: this one must
/// stop acting.
struct Superseded {};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_SUPERSEDED_H
