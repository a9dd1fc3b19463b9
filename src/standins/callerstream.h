#ifndef CRANBERRYSPOOL_STANDINS_CALLERSTREAM_H
#define CRANBERRYSPOOL_STANDINS_CALLERSTREAM_H

#include "framework/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace cranberryspool::standins {

/// A flow of calls of one kind that arrive independently of each other.
struct CallerStream {
  std::string Name_;
  std::string Method_;
  /// `{id}` in the path is replaced by the identity of the call.
  std::string Path_;
  /// Calls per second on average.
  double Rate_ = 0;
  /// The value of the priority header; none when empty.
  std::string Priority_;
  framework::Duration Timeout_{};
  bool IsKeyed_ = false;
  std::size_t BodyBytes_ = 0;
  /// Addresses of targets that are called without an instance between; empty
  /// for calls through the instances.
  std::vector<std::string> DirectTo_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_CALLERSTREAM_H
