#ifndef CRANBERRYSPOOL_FLEET_TYPES_STOREDRECORD_H
#define CRANBERRYSPOOL_FLEET_TYPES_STOREDRECORD_H

#include "framework/ids.h"

#include <string>

namespace cranberryspool::fleet {

/// A record of the platform's metadata store, or the deletion of one, as it was
/// read.
struct StoredRecord {
  std::string Key_;
  std::string Value_;
  /// The revision of the store at which the record was written or deleted.
  framework::Revision Revision_;
  bool IsDeleted_ = false;

  friend bool operator==(const StoredRecord &, const StoredRecord &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_STOREDRECORD_H
