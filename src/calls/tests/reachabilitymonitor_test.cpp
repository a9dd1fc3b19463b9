#include "calls/reachabilitymonitor.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::calls;
using framework::Instant;
using framework::TargetId;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant Start{seconds(100)};
constexpr std::size_t ManyTargets = 30;

} // namespace

TEST_CASE("an instance is cut off when five targets cannot be connected to",
          "[cutoff]") {
  ReachabilityMonitor Monitor;
  for (const std::uint32_t Target : {1U, 2U, 3U, 4U, 4U})
    Monitor.recordOpenFailed(TargetId(Target), ManyTargets, Start);
  CHECK_FALSE(Monitor.isCutOff());
  Monitor.recordOpenFailed(TargetId(5), ManyTargets, Start);
  CHECK(Monitor.isCutOff());
  Monitor.recordOpened();
  CHECK_FALSE(Monitor.isCutOff());
}

TEST_CASE("two unreachable targets make an instance try others at once",
          "[cutoff]") {
  ReachabilityMonitor Monitor;
  Monitor.recordOpenFailed(TargetId(1), ManyTargets, Start);
  CHECK(Monitor.takeDueTrials(Instant::max(), Start) == 0);
  Monitor.recordOpenFailed(TargetId(2), ManyTargets, Start);
  CHECK(Monitor.takeDueTrials(Instant::max(), Start) == 3);
  CHECK(Monitor.takeDueTrials(Instant::max(), Start + milliseconds(400)) == 0);
  Monitor.recordOpened();
  CHECK(Monitor.takeDueTrials(Instant::max(), Start + seconds(1)) == 0);
}

TEST_CASE("failures far apart or with successes in between are no cut",
          "[cutoff]") {
  ReachabilityMonitor Monitor;
  for (std::uint32_t Target = 1; Target < 10; ++Target)
    Monitor.recordOpenFailed(TargetId(Target), ManyTargets,
                             Start + seconds(2 * Target));
  CHECK_FALSE(Monitor.isCutOff());
  const Instant Later = Start + seconds(60);
  for (std::uint32_t Target = 1; Target < 10; ++Target) {
    Monitor.recordOpenFailed(TargetId(Target), ManyTargets, Later);
    if (Target % 2 == 0)
      Monitor.recordOpened();
  }
  CHECK_FALSE(Monitor.isCutOff());
}

TEST_CASE("two unreachable targets show a cut when there are no others",
          "[cutoff]") {
  ReachabilityMonitor Monitor;
  Monitor.recordOpenFailed(TargetId(1), 2, Start);
  CHECK_FALSE(Monitor.isCutOff());
  Monitor.recordOpenFailed(TargetId(2), 2, Start);
  CHECK(Monitor.isCutOff());
}

TEST_CASE("connections are tried while an attempt waits in silence and during "
          "a cut",
          "[cutoff]") {
  ReachabilityMonitor Monitor;
  Monitor.recordHeard(Start);
  CHECK(Monitor.takeDueTrials(Instant::max(), Start + seconds(5)) == 0);
  CHECK(Monitor.takeDueTrials(Start, Start + milliseconds(299)) == 0);
  CHECK(Monitor.takeDueTrials(Start, Start + milliseconds(300)) == 3);
  CHECK(Monitor.takeDueTrials(Start, Start + milliseconds(400)) == 0);
  for (const std::uint32_t Target : {1U, 2U, 3U, 4U, 5U})
    Monitor.recordOpenFailed(TargetId(Target), ManyTargets,
                             Start + milliseconds(400));
  CHECK(Monitor.takeDueTrials(Instant::max(), Start + milliseconds(550)) == 1);
  CHECK(Monitor.takeDueTrials(Instant::max(), Start + milliseconds(700)) == 0);
  CHECK(Monitor.takeDueTrials(Instant::max(), Start + milliseconds(800)) == 1);
}
