#ifndef CRANBERRYSPOOL_ENTRY_TYPES_CALLERREQUEST_H
#define CRANBERRYSPOOL_ENTRY_TYPES_CALLERREQUEST_H

#include "entry/types/headerfield.h"
#include "framework/runtime/bytereservation.h"

#include <string>
#include <vector>

namespace cranberryspool::entry {

/// A caller's complete request as it is forwarded to targets. Immutable once
/// read, so that workers may share it.
struct CallerRequest {
  std::string Method_;
  /// The request target: path and query.
  std::string Target_;
  /// The end-to-end header fields; hop-by-hop fields are removed.
  std::vector<HeaderField> Fields_;
  /// The caller's key and workspace fields. They are forwarded only where the
  /// document has no workspaces.
  std::vector<HeaderField> CredentialFields_;
  /// The attempt id that the caller sent; empty when it sent none.
  std::string AttemptId_;
  std::string Body_;
  /// The room for the head and for the body, each in its own budget.
  framework::ByteReservation HeadReservation_;
  framework::ByteReservation Reservation_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_CALLERREQUEST_H
