#ifndef CRANBERRYSPOOL_FRAMEWORK_RUNTIME_RESTARTLIMIT_H
#define CRANBERRYSPOOL_FRAMEWORK_RUNTIME_RESTARTLIMIT_H

#include "framework/time.h"

#include <cstdint>

namespace cranberryspool::framework {

/// How often a supervisor restarts its workers. It gives up after more than
/// `MaxRestarts_` failures within `Window_` (one-for-one supervision, as in
/// Erlang/OTP).
struct RestartLimit {
  std::uint32_t MaxRestarts_ = 0;
  Duration Window_{};
};

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_RUNTIME_RESTARTLIMIT_H
