#ifndef CRANBERRYSPOOL_FRAMEWORK_TIME_H
#define CRANBERRYSPOOL_FRAMEWORK_TIME_H

#include <chrono>

namespace cranberryspool::framework {

/// The resolution of all time in the decision code: one microsecond.
using Duration = std::chrono::microseconds;

/// Names the clock of `Instant`. It is never read here: shells and tests pass
/// the time in.
struct BootClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
};

/// A monotonic time that goes on while the process is stopped or the machine
/// is suspended (the boot clock). Its epoch means nothing across machines.
using Instant = std::chrono::time_point<BootClock, Duration>;

/// Time of day, to compare with times that others wrote (keys, published
/// values). It may step; nothing is scheduled by it.
using WallTime = std::chrono::sys_time<Duration>;

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_TIME_H
