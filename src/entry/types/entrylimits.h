#ifndef CRANBERRYSPOOL_ENTRY_TYPES_ENTRYLIMITS_H
#define CRANBERRYSPOOL_ENTRY_TYPES_ENTRYLIMITS_H

#include "framework/time.h"

#include <cstddef>

namespace cranberryspool::entry {

/// Bounds of the shells of one instance.
struct EntryLimits {
  /// Bytes of a request's or answer's head.
  std::size_t HeadBytes_ = 16 * 1024;
  /// Bytes of one request's or answer's body.
  std::size_t BodyBytes_ = 1024 * 1024;
  /// Bytes of all request bodies held at once.
  std::size_t RequestBytes_ = 48 * 1024 * 1024;
  /// Bytes of all answer bodies held at once.
  std::size_t AnswerBytes_ = 48 * 1024 * 1024;
  /// Open connections of callers.
  std::size_t CallerConnections_ = 4096;
  /// From the first byte of a head to its end.
  framework::Duration HeadTimeout_ = std::chrono::seconds(10);
  /// From the end of a head to the end of its body.
  framework::Duration BodyTimeout_ = std::chrono::seconds(30);
  /// Without any request on a caller connection.
  framework::Duration IdleTimeout_ = std::chrono::seconds(90);
  /// For a caller to take its answer.
  framework::Duration WriteTimeout_ = std::chrono::seconds(30);
  /// For a connection to a target, and for a probe.
  framework::Duration ConnectTimeout_ = std::chrono::seconds(1);
  /// For any answer of the platform, beyond the wait that a watch asks for.
  framework::Duration PlatformTimeout_ = std::chrono::seconds(2);
  /// Bytes of a value of the platform.
  std::size_t PlatformBytes_ = 8 * 1024 * 1024;
  /// Bytes of answers kept for repeats of keyed calls.
  std::size_t KeptAnswerBytes_ = 16 * 1024 * 1024;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_ENTRYLIMITS_H
