#ifndef CRANBERRYSPOOL_ENTRY_TYPES_TARGETRESPONSE_H
#define CRANBERRYSPOOL_ENTRY_TYPES_TARGETRESPONSE_H

#include "entry/types/headerfield.h"
#include "framework/runtime/bytereservation.h"

#include <string>
#include <vector>

namespace cranberryspool::entry {

/// A target's complete response as it is forwarded to the caller. Immutable
/// once read.
struct TargetResponse {
  unsigned Status_ = 0;
  /// The end-to-end header fields; hop-by-hop fields are removed.
  std::vector<HeaderField> Fields_;
  std::string Body_;
  framework::ByteReservation Reservation_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_TARGETRESPONSE_H
