#ifndef CRANBERRYSPOOL_FRAMEWORK_MOMENT_H
#define CRANBERRYSPOOL_FRAMEWORK_MOMENT_H

#include "framework/time.h"

namespace cranberryspool::framework {

/// The monotonic time and the time of day at which an event is handled.
struct Moment {
  Instant Monotonic_{};
  WallTime Wall_{};
};

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_MOMENT_H
