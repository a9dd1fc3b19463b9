#include "fleet/internal/seeded/readtiming.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::fleet;
using framework::Duration;
using std::chrono::milliseconds;

TEST_CASE("the waits before a change takes effect add up to less than the time "
          "that is allowed for it",
          "[readtiming]") {
  const Duration Bound = milliseconds(GENERATE(2'000, 2'500, 3'000, 5'000));
  const ReadTiming Timing(Bound);
  CAPTURE(Bound.count());
  const Duration MemberAge = Timing.MaxViewAge_ + ReadTiming::MaxReadJitter;
  // A read of changes that is never answered, and a prompt read beside it.
  CHECK(MemberAge + Timing.LateAnswerTime_ + ReadTiming::PromptAnswerTime +
            ReadTiming::HandlingTime <
        Bound);
  // While reads of changes come late, a slow read of all records.
  CHECK(Timing.MaxViewAgeWhileLate_ + ReadTiming::MaxReadJitter +
            ReadTiming::SlowAnswerTime + ReadTiming::HandlingTime <
        Bound);
  // Other instances that are expected to help do not.
  CHECK(milliseconds(100) + Timing.MaxHelpTime_ + Timing.LateAnswerTime_ +
            ReadTiming::PromptAnswerTime + ReadTiming::HandlingTime <
        Bound);
  // In calm, a watch ends before the store is read anew.
  CHECK(Timing.MaxWatchWait_ + ReadTiming::PromptAnswerTime <=
        Timing.MaxViewAge_);
}

TEST_CASE("a store is read at all times while its bound is very short",
          "[readtiming]") {
  const ReadTiming Timing(milliseconds(300));
  CHECK(Timing.MaxWatchWait_ > Duration{});
  CHECK(Timing.MaxViewAge_ > Timing.MaxWatchWait_);
  CHECK(Timing.LateAnswerTime_ > Duration{});
  CHECK(Timing.MaxHelpTime_ > Duration{});
}
