#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_VIEWCHANGED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_VIEWCHANGED_H

namespace cranberryspool::fleet {

/// The view of the published state became fresh, or too old to act on.
struct ViewChanged {
  bool IsFresh_ = false;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_VIEWCHANGED_H
