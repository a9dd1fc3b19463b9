#ifndef CRANBERRYSPOOL_FLEET_TYPES_REPLICATEDRECORD_H
#define CRANBERRYSPOOL_FLEET_TYPES_REPLICATEDRECORD_H

#include "framework/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// A record of the platform's metadata store in a message between instances.
/// The value is a byte string, since it need not be valid text.
struct ReplicatedRecord {
  std::string Key_;
  std::vector<std::uint8_t> Value_;
  framework::Revision Revision_;
  bool IsDeleted_ = false;

  friend bool operator==(const ReplicatedRecord &,
                         const ReplicatedRecord &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_REPLICATEDRECORD_H
