#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_CALLERLIMITS_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_CALLERLIMITS_H

#include "framework/time.h"

#include <cstddef>

namespace cranberryspool::document {

/// Limits on the size of a caller's request and on the time to send it.
struct CallerLimits {
  /// The maximum size of a request head.
  std::size_t HeadBytes_ = 0;
  /// The maximum size of a request body.
  std::size_t BodyBytes_ = 0;
  /// The maximum time from the first byte of a request head to its last.
  framework::Duration HeadTimeout_{};
  /// The time after which a connection without a request is closed.
  framework::Duration IdleTimeout_{};

  friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_CALLERLIMITS_H
