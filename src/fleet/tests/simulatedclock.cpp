#include "fleet/tests/simulatedclock.h"

#include <utility>

namespace cranberryspool::fleet {

void SimulatedClock::after(framework::Duration Delay, Task Run) {
  Items_.push(Item{Now_ + Delay, NextOrder_++, std::move(Run)});
}

void SimulatedClock::advance(framework::Duration Length) {
  const framework::Instant Until = Now_ + Length;
  while (!Items_.empty() && Items_.top().At_ <= Until) {
    const Item Next = Items_.top();
    Items_.pop();
    Now_ = Next.At_;
    Next.Run_();
  }
  Now_ = Until;
}

} // namespace cranberryspool::fleet
