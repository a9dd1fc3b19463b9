#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_HTTPPOST_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_HTTPPOST_H

#include "entry/types/endpoint.h"
#include "framework/time.h"

#include <cstddef>
#include <optional>
#include <string>

namespace cranberryspool::entry {

/// Where a post goes from and to, and its bounds.
struct PostRoute {
  /// The IP number to send from.
  std::string Source_;
  Endpoint Destination_;
  std::string Path_;
  framework::Duration Timeout_{};
  std::size_t AnswerBytes_ = 0;
};

/// Posts a body over a connection of its own and blocks until the answer is
/// there; nothing when it is not there in time, or not a 200.
std::optional<std::string> postAndWait(const PostRoute &Route,
                                       const std::string &Body);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_HTTPPOST_H
