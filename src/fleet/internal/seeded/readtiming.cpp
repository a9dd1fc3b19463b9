#include "fleet/internal/seeded/readtiming.h"

#include <algorithm>

namespace cranberryspool::fleet {

namespace {

using framework::Duration;
using std::chrono::milliseconds;

constexpr Duration MinLateAnswerTime = milliseconds(200);
constexpr Duration MinViewAge = milliseconds(400);
constexpr Duration MaxUsefulViewAge = milliseconds(1300);
constexpr Duration MinWatchWait = milliseconds(200);
constexpr Duration MaxUsefulWatchWait = milliseconds(1000);
constexpr Duration MaxUsefulHelpTime = milliseconds(2000);
/// Left for datagrams, relays and timers that fire late.
constexpr Duration Margin = milliseconds(50);
/// Messages that were sent together may arrive reordered within this time
/// before changes count as missing.
constexpr Duration NoticeTime = milliseconds(100);

} // namespace

ReadTiming::ReadTiming(Duration ChangeBound) {
  const Duration Allowed = ChangeBound - Margin;
  const Duration Fixed = HandlingTime + MaxReadJitter + PromptAnswerTime;
  LateAnswerTime_ = std::clamp(Allowed - Fixed - MaxUsefulViewAge,
                               MinLateAnswerTime, MaxLateAnswerTime);
  MaxViewAge_ = std::clamp(Allowed - Fixed - LateAnswerTime_, MinViewAge,
                           MaxUsefulViewAge);
  MaxViewAgeWhileLate_ =
      std::clamp(Allowed - HandlingTime - MaxReadJitter - SlowAnswerTime,
                 MinViewAge, MaxViewAge_);
  MaxWatchWait_ = std::clamp(MaxViewAge_ - PromptAnswerTime, MinWatchWait,
                             MaxUsefulWatchWait);
  MaxHelpTime_ = std::clamp(Allowed - NoticeTime - HandlingTime -
                                LateAnswerTime_ - PromptAnswerTime,
                            MinViewAge, MaxUsefulHelpTime);
}

} // namespace cranberryspool::fleet
