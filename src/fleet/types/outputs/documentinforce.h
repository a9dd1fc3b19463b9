#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_DOCUMENTINFORCE_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_DOCUMENTINFORCE_H

#include "framework/ids.h"

namespace cranberryspool::fleet {

/// A newer document was accepted and is the current one.
struct DocumentInForce {
  framework::Revision Revision_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_DOCUMENTINFORCE_H
