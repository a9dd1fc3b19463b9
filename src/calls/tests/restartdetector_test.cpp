#include "calls/restartdetector.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::calls;
using std::chrono::milliseconds;

TEST_CASE("all connections closed at once indicate a restart", "[calls]") {
  RestartDetector Detector;
  const framework::TargetId Target(3);
  const framework::Instant Start{};
  CHECK_FALSE(Detector.recordClosed(Target, false, 2, Start));
  CHECK_FALSE(Detector.recordClosed(Target, false, 1, Start));
  CHECK(Detector.recordClosed(Target, false, 0, Start + milliseconds(50)));
}

TEST_CASE("connections lost one by one do not indicate a restart", "[calls]") {
  RestartDetector Detector;
  const framework::TargetId Target(3);
  const framework::Instant Start{};
  CHECK_FALSE(Detector.recordClosed(Target, false, 1, Start));
  CHECK_FALSE(
      Detector.recordClosed(Target, false, 0, Start + milliseconds(300)));
}
