#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDSUNAVAILABLE_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDSUNAVAILABLE_H

#include "fleet/types/readkind.h"

#include <string>

namespace cranberryspool::decision {

/// A read or watch of the platform's metadata store failed or timed out.
struct RecordsUnavailable {
  /// What failed, for the log.
  std::string Reason_{};
  /// True when the store has neither answered nor closed the connection in
  /// time.
  bool IsTimeout_ = false;
  fleet::ReadKind Kind_ = fleet::ReadKind::Changes;
  /// True when the store has not answered, not even with a refusal: the
  /// connection ended, or nothing came in time.
  bool IsCut_ = false;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDSUNAVAILABLE_H
