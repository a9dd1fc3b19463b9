#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_INSTANCESCHANGED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_INSTANCESCHANGED_H

namespace cranberryspool::fleet {

/// Reports that the published targets or instances changed, and with them the
/// shares of the fleet-wide limits.
struct InstancesChanged {};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_INSTANCESCHANGED_H
