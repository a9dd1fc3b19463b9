#include "scheduling/kindschedule.h"

#include <catch2/catch.hpp>

#include <limits>
#include <map>

using namespace cranberryspool;
using namespace cranberryspool::scheduling;
using framework::Duration;
using framework::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration Objective = milliseconds(200);
constexpr Duration Work = milliseconds(20);
constexpr KindKey High{0, 1};
constexpr KindKey Middle{1, 2};
constexpr KindKey OtherMiddle{1, 3};
constexpr KindKey Low{2, 4};

/// Records the arrivals of a second at the given rates, for some seconds.
void arrive(KindSchedule &Schedule, const std::map<KindKey, int> &Rates,
            Instant &Now, int Seconds, Duration KindWork = Work) {
  for (int Tick = 0; Tick < Seconds * 100; ++Tick) {
    for (const auto &[Kind, Rate] : Rates)
      for (int Call = Tick * Rate / 100; Call < (Tick + 1) * Rate / 100; ++Call)
        Schedule.recordArrival(Kind, Objective, KindWork, Now);
    Now += milliseconds(10);
  }
}

std::map<KindKey, int> start(KindSchedule &Schedule, int Count) {
  std::map<KindKey, int> Started;
  for (int Index = 0; Index < Count; ++Index) {
    const auto Turn = Schedule.next([](KindKey) { return true; },
                                    [](KindKey) { return Instant::max(); });
    Schedule.recordStarted(Turn->Kind_);
    ++Started[Turn->Kind_];
  }
  return Started;
}

void addAll(KindSchedule &Schedule, std::initializer_list<KindKey> Kinds,
            int Count) {
  for (const KindKey Kind : Kinds)
    for (int Index = 0; Index < Count; ++Index)
      Schedule.add(Kind);
}

} // namespace

// Guards against a burst of a kind that takes the share of another.
TEST_CASE("a burst of a kind leaves the others of its rank their shares",
          "[scheduling]") {
  KindSchedule Schedule;
  Instant Now(seconds(100));
  arrive(Schedule, {{Middle, 100}, {OtherMiddle, 100}}, Now, 60);
  arrive(Schedule, {{Middle, 100}, {OtherMiddle, 250}}, Now, 10);
  addAll(Schedule, {Middle}, 1000);
  addAll(Schedule, {OtherMiddle}, 2500);
  const auto Started = start(Schedule, 2000);
  // Served alike, they would start 571 and 1,429. The burst of ten seconds has
  // raised the usual rate of the other kind by a quarter.
  CHECK(Started.at(Middle) >= 850);
  CHECK(Started.at(OtherMiddle) >= 1000);
}

// Guards against a higher rank that is served worse because it bursts, and
// against a lower one that starves.
TEST_CASE("a higher rank is served no worse and a lower one does not starve",
          "[scheduling]") {
  const int HighRate = GENERATE(10, 100, 1000);
  KindSchedule Schedule;
  Instant Now(seconds(100));
  arrive(Schedule, {{High, 100}, {Middle, 100}, {Low, 100}}, Now, 60);
  arrive(Schedule, {{High, HighRate}, {Middle, 300}, {Low, 50}}, Now, 10);
  addAll(Schedule, {High}, 10 * HighRate);
  addAll(Schedule, {Middle}, 3000);
  addAll(Schedule, {Low}, 500);
  const auto Started = start(Schedule, 5 * HighRate + 1750);
  const double HighServed = Started.at(High) / (10.0 * HighRate);
  const double MiddleServed = Started.at(Middle) / 3000.0;
  const double LowServed = Started.at(Low) / 500.0;
  CHECK(HighServed >= 0.95 * MiddleServed);
  CHECK(MiddleServed >= 0.95 * LowServed);
  CHECK(LowServed >= 0.22 * 0.5);
}

// Guards against capacity that stays unused, and against a lender that waits
// for more than one start.
TEST_CASE("a share is borrowed while it is free and returned at once",
          "[scheduling]") {
  KindSchedule Schedule;
  Instant Now(seconds(100));
  arrive(Schedule, {{High, 100}, {Low, 100}}, Now, 60);
  addAll(Schedule, {Low}, 1000);
  CHECK(start(Schedule, 500).at(Low) == 500);
  addAll(Schedule, {High}, 1);
  const auto Next = Schedule.next([](KindKey) { return true; },
                                  [](KindKey) { return Instant::max(); });
  CHECK(Next == KindTurn{High, TurnReason::Rank});
}

// Guards against an order that ignores how soon a call becomes late.
TEST_CASE("within a rank the kind with the least slack is next",
          "[scheduling]") {
  KindSchedule Schedule;
  Instant Now(seconds(100));
  arrive(Schedule, {{Middle, 100}, {OtherMiddle, 100}}, Now, 20);
  addAll(Schedule, {Middle, OtherMiddle}, 5);
  const auto Next =
      Schedule.next([](KindKey) { return true; },
                    [&](KindKey Kind) {
                      return Kind == OtherMiddle ? Now : Now + seconds(1);
                    });
  CHECK(Next->Kind_ == OtherMiddle);
  CHECK_FALSE(Schedule.next([](KindKey) { return false; },
                            [](KindKey) { return Instant::max(); }));
}

// Guards against weights of zero or infinity from values that make no sense.
TEST_CASE("absurd objectives and work leave a finite order", "[scheduling]") {
  const Duration Absurd = GENERATE(Duration(0), Duration(-1), Duration::max(),
                                   Duration::min(), Duration(1));
  KindSchedule Schedule;
  Instant Now(seconds(100));
  for (int Call = 0; Call < 1000; ++Call) {
    Schedule.recordArrival(High, Absurd, Work, Now);
    Schedule.recordArrival(Low, Objective, Absurd, Now);
    // Goes back every tenth call.
    Now += Call % 10 == 0 ? -milliseconds(100) : milliseconds(20);
  }
  addAll(Schedule, {High, Low}, 500);
  const auto Started = start(Schedule, 500);
  CHECK(Started.at(High) > 250);
  CHECK(Started.at(Low) > 25);
}

// Guards against memory for kinds and priorities that are gone.
TEST_CASE("a kind without calls is forgotten", "[scheduling]") {
  KindSchedule Schedule;
  Instant Now(seconds(100));
  arrive(Schedule, {{High, 10}, {Low, 10}}, Now, 5);
  CHECK(Schedule.isShared());
  Now += std::chrono::hours(2);
  arrive(Schedule, {{High, 10}}, Now, 1);
  CHECK_FALSE(Schedule.isShared());
}

// Guards against counts that decay to zero with the call that ends a long
// pause: every kind would be owed calls at once.
TEST_CASE("the order of ranks holds after hours without calls",
          "[scheduling]") {
  KindSchedule Schedule;
  Instant Now(seconds(100));
  arrive(Schedule, {{High, 10}, {Low, 10}}, Now, 5);
  Now += std::chrono::hours(2);
  Schedule.recordArrival(Low, Objective, Work, Now);
  Schedule.recordArrival(High, Objective, Work, Now);
  addAll(Schedule, {Low, High}, 5);
  for (int Index = 0; Index < 3; ++Index) {
    const auto Next = Schedule.next([](KindKey) { return true; },
                                    [](KindKey) { return Instant::max(); });
    CHECK(Next == KindTurn{High, TurnReason::Rank});
    Schedule.recordStarted(High);
  }
}
