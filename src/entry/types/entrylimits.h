#ifndef CRANBERRYSPOOL_ENTRY_TYPES_ENTRYLIMITS_H
#define CRANBERRYSPOOL_ENTRY_TYPES_ENTRYLIMITS_H

#include "framework/time.h"

#include <cstddef>

namespace cranberryspool::entry {

/// The I/O limits of one instance.
struct EntryLimits {
  /// The maximum size of the head of a request or response.
  std::size_t HeadBytes_ = 16 * 1024;
  /// The maximum size of the body of a request or response.
  std::size_t BodyBytes_ = 1024 * 1024;
  /// The maximum size of all request bodies held at one time.
  std::size_t RequestBytes_ = 48 * 1024 * 1024;
  /// The maximum size of all response bodies held at one time.
  std::size_t ResponseBytes_ = 48 * 1024 * 1024;
  /// The maximum size of all input held besides bodies: heads of requests in
  /// progress, and input that is not parsed yet beyond a few kilobytes a
  /// connection.
  std::size_t InputBytes_ = 48 * 1024 * 1024;
  /// The maximum number of open caller connections.
  std::size_t CallerConnections_ = 4096;
  /// The time limit from the first byte of a request head to its end.
  framework::Duration HeadTimeout_ = std::chrono::seconds(10);
  /// The time limit from the end of a request head to the end of its body.
  framework::Duration BodyTimeout_ = std::chrono::seconds(30);
  /// The time for which a caller connection may stay open without a request.
  framework::Duration IdleTimeout_ = std::chrono::seconds(90);
  /// The time limit for writing a response to a caller.
  framework::Duration WriteTimeout_ = std::chrono::seconds(30);
  /// The time limit for opening a connection to a target, and for a complete
  /// probe.
  framework::Duration ConnectTimeout_ = std::chrono::seconds(1);
  /// The time limit for a response of the platform, on top of the wait that a
  /// watch requests.
  framework::Duration PlatformTimeout_ = std::chrono::seconds(2);
  /// The maximum size of one value read from the platform.
  std::size_t PlatformBytes_ = 8 * 1024 * 1024;
  /// The maximum size of all responses stored for repeats of calls with an
  /// idempotency key.
  std::size_t StoredResponseBytes_ = 16 * 1024 * 1024;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_ENTRYLIMITS_H
