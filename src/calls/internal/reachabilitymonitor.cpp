#include "calls/reachabilitymonitor.h"

#include <algorithm>
#include <chrono>

namespace cranberryspool::calls {

namespace {

using framework::Instant;
using std::chrono::milliseconds;

/// The number of unreachable targets that show a cut. Fewer may be down.
constexpr std::size_t TargetsToDetect = 5;
constexpr std::size_t MinTargetsToDetect = 2;
/// The number of unreachable targets that raise the suspicion of a cut.
constexpr std::size_t TargetsToSuspect = 2;
/// The number of targets that are tried at once then.
constexpr std::size_t TrialsOfSuspect = 3;
/// Failures that are further apart have different causes.
constexpr framework::Duration FailureWindow = std::chrono::seconds(2);
/// Without anything heard for this long while an attempt waits, a cut that
/// leaves connections silent is suspected.
constexpr framework::Duration SilenceToSuspect = milliseconds(300);
constexpr framework::Duration TrialInterval = milliseconds(250);
/// The interval of trials while a cut is only suspected.
constexpr framework::Duration SuspectTrialInterval = milliseconds(500);

} // namespace

void ReachabilityMonitor::recordOpened() {
  FailedAt_.clear();
  IsCutOff_ = false;
}

void ReachabilityMonitor::recordOpenFailed(framework::TargetId Target,
                                           std::size_t KnownTargets,
                                           Instant Now) {
  FailedAt_[Target] = Now;
  std::erase_if(FailedAt_, [Now](const auto &Each) {
    return Now - Each.second > FailureWindow;
  });
  const std::size_t Needed =
      std::clamp(KnownTargets, MinTargetsToDetect, TargetsToDetect);
  IsCutOff_ = IsCutOff_ || FailedAt_.size() >= Needed;
}

std::size_t ReachabilityMonitor::takeDueTrials(Instant OldestSentAt,
                                               Instant Now) {
  const bool IsSilent = OldestSentAt <= Now - SilenceToSuspect &&
                        LastHeardAt_ <= Now - SilenceToSuspect;
  const bool IsSuspected = IsSilent || FailedAt_.size() >= TargetsToSuspect;
  const framework::Duration Interval =
      IsCutOff_ ? TrialInterval : SuspectTrialInterval;
  if ((!IsCutOff_ && !IsSuspected) || Now < LastTrialAt_ + Interval)
    return 0;
  LastTrialAt_ = Now;
  return IsCutOff_ ? 1 : TrialsOfSuspect;
}

} // namespace cranberryspool::calls
