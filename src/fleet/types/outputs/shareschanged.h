#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_SHARESCHANGED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_SHARESCHANGED_H

namespace cranberryspool::fleet {

/// This instance's shares of the fleet-wide bounds at targets have changed.
struct SharesChanged {};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_SHARESCHANGED_H
