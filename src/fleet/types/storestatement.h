#ifndef CRANBERRYSPOOL_FLEET_TYPES_STORESTATEMENT_H
#define CRANBERRYSPOOL_FLEET_TYPES_STORESTATEMENT_H

#include "framework/ids.h"
#include "framework/time.h"

namespace cranberryspool::fleet {

/// What the platform's metadata store has last stated to this instance itself.
struct StoreStatement {
  /// The revision that the store stated. It is below that of the view while
  /// other instances have told of later changes, or when the view is of another
  /// history.
  framework::Revision Revision_;
  /// The time since the answer arrived.
  framework::Duration Age_{};
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_STORESTATEMENT_H
