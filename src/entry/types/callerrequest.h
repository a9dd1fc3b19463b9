#ifndef CRANBERRYSPOOL_ENTRY_TYPES_CALLERREQUEST_H
#define CRANBERRYSPOOL_ENTRY_TYPES_CALLERREQUEST_H

#include "entry/types/headerfield.h"
#include "framework/runtime/bytereservation.h"

#include <string>
#include <vector>

namespace cranberryspool::entry {

/// A caller's whole request, as it goes on to targets. Immutable once read, so
/// that the duties may share it.
struct CallerRequest {
  std::string Method_;
  /// The path and the query.
  std::string Target_;
  /// End-to-end fields only.
  std::vector<HeaderField> Fields_;
  /// The caller's own id of this attempt; empty when it gives none.
  std::string AttemptId_;
  std::string Body_;
  framework::ByteReservation Reservation_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_CALLERREQUEST_H
