#include "calls/crashdetector.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::calls;
using framework::Instant;
using framework::TargetId;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant Start{seconds(100)};
constexpr RequestFingerprint First{1, 1};
constexpr RequestFingerprint Second{2, 2};
constexpr std::size_t SomeTargets = 5;

} // namespace

TEST_CASE("requests lost with a target that refuses the next connection were "
          "in progress at its crash",
          "[crash]") {
  CrashDetector Detector;
  Detector.recordLost(TargetId(1), Second, Start);
  Detector.recordLost(TargetId(1), First, Start + milliseconds(1));
  Detector.recordLost(TargetId(1), First, Start + milliseconds(1));
  CHECK(Detector.takeDueChecks(Start + milliseconds(10)).empty());
  CHECK(Detector.nextWakeUp() == Start + milliseconds(20));
  CHECK(Detector.takeDueChecks(Start + milliseconds(20)) ==
        std::vector{TargetId(1)});
  CHECK(Detector.takeDueChecks(Start + milliseconds(30)).empty());
  CHECK_FALSE(Detector.nextWakeUp());
  CHECK(Detector.recordRefused(TargetId(1), SomeTargets,
                               Start + milliseconds(22)) ==
        std::vector{First, Second});
  CHECK(
      Detector.recordRefused(TargetId(1), SomeTargets, Start + milliseconds(23))
          .empty());
}

TEST_CASE("a target that accepts the next connection has not crashed",
          "[crash]") {
  CrashDetector Detector;
  Detector.recordLost(TargetId(1), First, Start);
  Detector.recordReachable(TargetId(1));
  CHECK(Detector.takeDueChecks(Start + milliseconds(20)).empty());
  CHECK(
      Detector.recordRefused(TargetId(1), SomeTargets, Start + milliseconds(30))
          .empty());
}

TEST_CASE("a refusal long after a loss tells nothing about it", "[crash]") {
  CrashDetector Detector;
  Detector.recordLost(TargetId(1), First, Start);
  CHECK(Detector.recordRefused(TargetId(1), SomeTargets, Start + seconds(2))
            .empty());
}

TEST_CASE("an instance that loses all targets at once blames no request",
          "[crash]") {
  CrashDetector Detector;
  for (const std::uint32_t Target : {1U, 2U, 3U}) {
    Detector.recordLost(TargetId(Target), First, Start);
    Detector.recordClosed(TargetId(Target), Start);
  }
  for (const std::uint32_t Target : {1U, 2U, 3U})
    CHECK(Detector.recordRefused(TargetId(Target), 0, Start + milliseconds(22))
              .empty());
}

TEST_CASE("the only target of an instance can be found to have crashed",
          "[crash]") {
  CrashDetector Detector;
  Detector.recordLost(TargetId(1), First, Start);
  Detector.recordClosed(TargetId(1), Start);
  CHECK(Detector.recordRefused(TargetId(1), 0, Start + milliseconds(22)) ==
        std::vector{First});
}
