#ifndef CRANBERRYSPOOL_FLEET_TYPES_READFAILURE_H
#define CRANBERRYSPOOL_FLEET_TYPES_READFAILURE_H

#include "fleet/types/readkind.h"

#include <string>

namespace cranberryspool::fleet {

/// A read of the platform's metadata store that has failed.
struct ReadFailure {
  /// What failed, for the log.
  std::string Reason_;
  /// True when the store has neither answered nor closed the connection in
  /// time.
  bool IsTimeout_ = false;
  ReadKind Kind_ = ReadKind::Changes;
  /// True when the store has not answered, not even with a refusal: the
  /// connection ended, or nothing came in time.
  bool IsCut_ = false;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_READFAILURE_H
