#ifndef CRANBERRYSPOOL_STANDINS_CALLERSTREAM_H
#define CRANBERRYSPOOL_STANDINS_CALLERSTREAM_H

#include "framework/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace cranberryspool::standins {

/// A stream of calls of one kind, whose arrivals are independent of each other.
struct CallerStream {
  std::string Name_;
  std::string Method_;
  /// `{id}` in the path is replaced by the identifier of the call.
  std::string Path_;
  /// Mean arrival rate in calls per second.
  double Rate_ = 0;
  /// The value of the priority header. No such header is sent when it is empty.
  std::string Priority_;
  framework::Duration Timeout_{};
  /// Whether each call carries an idempotency key.
  bool HasIdempotencyKey_ = false;
  std::size_t BodyBytes_ = 0;
  /// Addresses of targets to call directly, bypassing the instances. When
  /// empty, calls go through the instances.
  std::vector<std::string> DirectTargets_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_CALLERSTREAM_H
