#ifndef CRANBERRYSPOOL_FRAMEWORK_TIME_H
#define CRANBERRYSPOOL_FRAMEWORK_TIME_H

#include <chrono>

namespace cranberryspool::framework {

/// A time span. The decision code computes with microseconds throughout.
using Duration = std::chrono::microseconds;

/// A tag type for the clock of `Instant`. It has no `now`: the decision code
/// receives the time as an argument from the I/O code or from a test.
struct BootClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
};

/// A monotonic time that also advances while the process is stopped or the
/// machine is suspended (CLOCK_BOOTTIME). Instants of different machines are
/// not comparable.
using Instant = std::chrono::time_point<BootClock, Duration>;

/// Time of day, for comparison with times that other processes wrote (in
/// idempotency keys and published values). The system clock may jump, so
/// nothing is scheduled by it.
using WallTime = std::chrono::sys_time<Duration>;

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_TIME_H
