#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_VIEWFRESHNESSCHANGED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_VIEWFRESHNESSCHANGED_H

namespace cranberryspool::fleet {

/// Reports that the view of the published state became fresh or too old to use.
struct ViewFreshnessChanged {
  bool IsFresh_ = false;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_VIEWFRESHNESSCHANGED_H
