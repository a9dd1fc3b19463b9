#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_CALLERLIMITS_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_CALLERLIMITS_H

#include "framework/time.h"

#include <cstddef>

namespace cranberryspool::document {

/// What a caller may send, and how long it may take for it.
struct CallerLimits {
  std::size_t HeadBytes_ = 0;
  std::size_t BodyBytes_ = 0;
  /// From the first byte of a head to its end.
  framework::Duration HeadTimeout_{};
  /// Without any request on a connection.
  framework::Duration IdleTimeout_{};

  friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_CALLERLIMITS_H
