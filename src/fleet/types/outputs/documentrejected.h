#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_DOCUMENTREJECTED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_DOCUMENTREJECTED_H

#include "framework/ids.h"

namespace cranberryspool::fleet {

/// A published document is not valid; the one before stays in force.
struct DocumentRejected {
  framework::Revision Revision_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_DOCUMENTREJECTED_H
