#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_TARGETSCHANGED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_TARGETSCHANGED_H

namespace cranberryspool::fleet {

/// Reports that the targets in the platform's metadata store or the evacuated
/// zones changed.
struct TargetsChanged {};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_TARGETSCHANGED_H
