#ifndef CRANBERRYSPOOL_ENTRY_TYPES_REFUSEDREQUEST_H
#define CRANBERRYSPOOL_ENTRY_TYPES_REFUSEDREQUEST_H

#include <string>

namespace cranberryspool::entry {

/// A request that a caller's connection has refused before it became a call.
struct RefusedRequest {
  /// The HTTP status of the response.
  unsigned Status_ = 0;
  std::string Reason_;
  /// The id that the caller sent; empty when its head could not be read.
  std::string RequestId_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_REFUSEDREQUEST_H
