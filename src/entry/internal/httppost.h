#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_HTTPPOST_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_HTTPPOST_H

#include "entry/types/endpoint.h"
#include "framework/time.h"

#include <cstddef>
#include <optional>
#include <string>

namespace cranberryspool::entry {

/// The addresses and the limits of a POST request.
struct PostRequest {
  /// The IP address to send from.
  std::string Source_;
  Endpoint Destination_;
  std::string Path_;
  framework::Duration Timeout_{};
  std::size_t MaxResponseBytes_ = 0;
};

/// Sends a POST request over a new connection and blocks until the response is
/// read. Returns its body, or nothing when it is not complete within the
/// timeout or its status is not 200.
std::optional<std::string> postAndWait(const PostRequest &Request,
                                       const std::string &Body);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_HTTPPOST_H
