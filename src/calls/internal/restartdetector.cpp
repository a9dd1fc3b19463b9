#include "calls/restartdetector.h"

#include <chrono>

namespace cranberryspool::calls {

namespace {

/// Resets of one stop arrive within this time.
constexpr framework::Duration BurstTime = std::chrono::milliseconds(200);
/// Attempts fail for many reasons; idle connections are closed from this side
/// long before a target would.
constexpr std::uint32_t BusyClosingsOfRestart = 2;

} // namespace

bool RestartDetector::recordClosed(framework::TargetId Target, bool WasIdle,
                                   std::uint32_t Remaining,
                                   framework::Instant Now) {
  Burst &Own = Bursts_[Target];
  if (Own.Closed_ == 0 || Now - Own.BeganAt_ > BurstTime)
    Own = Burst{.BeganAt_ = Now, .Closed_ = 0};
  ++Own.Closed_;
  if (Remaining > 0)
    return false;
  return WasIdle || Own.Closed_ >= BusyClosingsOfRestart;
}

} // namespace cranberryspool::calls
