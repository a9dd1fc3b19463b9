#include "fleet/tests/simulatedclock.h"

#include <utility>

namespace cranberryspool::fleet {

void SimulatedClock::scheduleAfter(framework::Duration Delay, Task Run) {
  Queue_.push(ScheduledTask{Now_ + Delay, NextSequence_++, std::move(Run)});
}

void SimulatedClock::advance(framework::Duration Length) {
  const framework::Instant Until = Now_ + Length;
  while (!Queue_.empty() && Queue_.top().At_ <= Until) {
    const ScheduledTask Next = Queue_.top();
    Queue_.pop();
    Now_ = Next.At_;
    Next.Run_();
  }
  Now_ = Until;
}

} // namespace cranberryspool::fleet
