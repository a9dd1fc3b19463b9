#ifndef CRANBERRYSPOOL_FLEET_TYPES_STOREDRECORD_H
#define CRANBERRYSPOOL_FLEET_TYPES_STOREDRECORD_H

#include "framework/ids.h"

#include <string>

namespace cranberryspool::fleet {

/// An entry of the platform's store as it was read.
struct StoredRecord {
  std::string Key_;
  std::string Value_;
  /// Of the change that wrote or deleted it.
  framework::Revision Revision_;
  bool IsDeleted_ = false;

  friend bool operator==(const StoredRecord &, const StoredRecord &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_STOREDRECORD_H
