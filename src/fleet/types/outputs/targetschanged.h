#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_TARGETSCHANGED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_TARGETSCHANGED_H

namespace cranberryspool::fleet {

/// The targets in the platform's store, or the evacuated zones, changed.
struct TargetsChanged {};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_TARGETSCHANGED_H
