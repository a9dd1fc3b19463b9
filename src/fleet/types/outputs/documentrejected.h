#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_DOCUMENTREJECTED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_DOCUMENTREJECTED_H

#include "framework/ids.h"

namespace cranberryspool::fleet {

/// Reports that a published document is invalid; the previous one stays
/// current.
struct DocumentRejected {
  framework::Revision Revision_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_DOCUMENTREJECTED_H
