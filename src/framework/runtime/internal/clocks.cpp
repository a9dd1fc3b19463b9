#include "framework/runtime/clocks.h"

#include <ctime>

namespace cranberryspool::framework {

namespace {

Duration readClock(clockid_t Clock) {
  timespec Reading{};
  clock_gettime(Clock, &Reading);
  const auto SinceEpoch = std::chrono::seconds(Reading.tv_sec) +
                          std::chrono::nanoseconds(Reading.tv_nsec);
  return std::chrono::duration_cast<Duration>(SinceEpoch);
}

} // namespace

Moment readMoment() {
  return Moment{Instant(readClock(CLOCK_BOOTTIME)),
                WallTime(readClock(CLOCK_REALTIME))};
}

} // namespace cranberryspool::framework
