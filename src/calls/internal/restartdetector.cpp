#include "calls/restartdetector.h"

#include <chrono>

namespace cranberryspool::calls {

namespace {

/// The time within which the resets of a stopping target arrive.
constexpr framework::Duration BurstWindow = std::chrono::milliseconds(200);
/// How many busy connections have to be closed when no idle one is, because
/// attempts fail for many reasons. One idle connection is enough: this instance
/// closes idle connections long before a target would.
constexpr std::uint32_t BusyClosingsToDetect = 2;

} // namespace

bool RestartDetector::recordClosed(framework::TargetId Target, bool WasIdle,
                                   std::uint32_t Remaining,
                                   framework::Instant Now) {
  Burst &Current = Bursts_[Target];
  if (Current.Closed_ == 0 || Now - Current.BeganAt_ > BurstWindow)
    Current = Burst{.BeganAt_ = Now, .Closed_ = 0};
  ++Current.Closed_;
  if (Remaining > 0)
    return false;
  return WasIdle || Current.Closed_ >= BusyClosingsToDetect;
}

} // namespace cranberryspool::calls
