#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_RECORDREJECTED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_RECORDREJECTED_H

#include <string>

namespace cranberryspool::fleet {

/// A record of the platform's metadata store was rejected and is not used.
struct RecordRejected {
  std::string Key_;
  std::string Reason_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_RECORDREJECTED_H
