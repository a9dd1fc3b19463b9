#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_DOCUMENTAPPLIED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_DOCUMENTAPPLIED_H

#include "framework/ids.h"

namespace cranberryspool::fleet {

/// Reports that a newer document was accepted and is now the current one.
struct DocumentApplied {
  framework::Revision Revision_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_DOCUMENTAPPLIED_H
