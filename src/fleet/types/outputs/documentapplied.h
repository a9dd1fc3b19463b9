#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_DOCUMENTAPPLIED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_DOCUMENTAPPLIED_H

#include "framework/ids.h"

namespace cranberryspool::fleet {

/// A newer document was accepted and is the current one.
struct DocumentApplied {
  framework::Revision Revision_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_DOCUMENTAPPLIED_H
