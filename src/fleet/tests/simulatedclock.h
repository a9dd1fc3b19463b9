#ifndef CRANBERRYSPOOL_FLEET_TESTS_SIMULATEDCLOCK_H
#define CRANBERRYSPOOL_FLEET_TESTS_SIMULATEDCLOCK_H

#include "framework/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace cranberryspool::fleet {

/// Simulates time: runs scheduled tasks in the order of their due times.
class SimulatedClock {
public:
  using Task = std::function<void()>;

  framework::Instant now() const { return Now_; }
  void scheduleAfter(framework::Duration Delay, Task Run);
  /// Advances the time and runs all tasks that become due.
  void advance(framework::Duration Length);

private:
  struct ScheduledTask {
    framework::Instant At_;
    std::uint64_t Sequence_ = 0;
    Task Run_;

    friend bool operator<(const ScheduledTask &Left,
                          const ScheduledTask &Right) {
      if (Left.At_ != Right.At_)
        return Left.At_ > Right.At_;
      return Left.Sequence_ > Right.Sequence_;
    }
  };

  framework::Instant Now_{std::chrono::seconds(1000)};
  std::uint64_t NextSequence_ = 0;
  std::priority_queue<ScheduledTask> Queue_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TESTS_SIMULATEDCLOCK_H
