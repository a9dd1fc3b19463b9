#include "fleet/internal/seeded/outagedetector.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::fleet;
using framework::Duration;
using framework::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration LossyOutage = milliseconds(2'500);
constexpr Duration RecoveryGrace = milliseconds(2'200);

Instant at(Duration Time) { return Instant(seconds(100)) + Time; }

/// Knows an answer at 0 s.
OutageDetector makeDetector() {
  OutageDetector Detector(LossyOutage, RecoveryGrace);
  Detector.recordAnswer(at({}), at({}));
  return Detector;
}

} // namespace

TEST_CASE("answers that are only late are no outage of the store",
          "[outagedetector]") {
  OutageDetector Detector = makeDetector();
  Detector.recordAnswer(at(milliseconds(1'300)), at(milliseconds(3'300)));
  CHECK_FALSE(Detector.isRecovering(at(milliseconds(3'300))));
  Detector.recordAnswer(at(milliseconds(3'300)), at(milliseconds(5'700)));
  CHECK_FALSE(Detector.isRecovering(at(milliseconds(5'700))));
}

TEST_CASE("a store that answers other instances is not away although it turns "
          "this one away",
          "[outagedetector]") {
  OutageDetector Detector = makeDetector();
  for (int Second = 1; Second <= 6; ++Second) {
    Detector.recordFailure();
    Detector.recordAnswerToOther(at(seconds(Second)), at(seconds(Second)));
  }
  Detector.recordAnswer(at(seconds(7)), at(seconds(7)));
  CHECK_FALSE(Detector.isRecovering(at(seconds(7))));
}

TEST_CASE("a store that answered nobody while reads failed was away",
          "[outagedetector]") {
  OutageDetector Detector = makeDetector();
  Detector.recordFailure();
  SECTION("until it answers this instance") {
    // The read began before the end of the outage and was held.
    Detector.recordAnswer(at(milliseconds(1'900)), at(milliseconds(4'000)));
  }
  SECTION("until it answers another instance") {
    Detector.recordAnswerToOther(at(seconds(4)), at(seconds(3)));
  }
  CHECK(Detector.lastOutage() == seconds(4));
  CHECK(Detector.isRecovering(at(milliseconds(6'100))));
  CHECK_FALSE(Detector.isRecovering(at(milliseconds(6'200))));
}

TEST_CASE("an answer that took as long as an outage does not rule one out",
          "[outagedetector]") {
  OutageDetector Detector = makeDetector();
  Detector.recordAnswer(at(milliseconds(100)), at(milliseconds(2'700)));
  CHECK(Detector.isRecovering(at(milliseconds(2'700))));
}

TEST_CASE("a gap in what one instance knows is no outage when another one was "
          "answered all the while",
          "[outagedetector]") {
  OutageDetector Detector = makeDetector();
  Detector.recordFailure();
  SECTION("known with the first answer") {
    Detector.recordAnswerToOther(at(seconds(4)), at(seconds(-5)));
    CHECK(Detector.availableFor(at(seconds(4))) == seconds(9));
  }
  SECTION("known later") {
    Detector.recordAnswer(at(seconds(4)), at(seconds(4)));
    REQUIRE(Detector.isRecovering(at(seconds(4))));
    Detector.recordAnswerToOther(at(seconds(5)), at(seconds(-5)));
  }
  CHECK_FALSE(Detector.isRecovering(at(seconds(5))));
}

TEST_CASE("an instance that knows the store only since an outage does not rule "
          "the outage out",
          "[outagedetector]") {
  OutageDetector Detector = makeDetector();
  Detector.recordFailure();
  Detector.recordAnswer(at(seconds(4)), at(seconds(4)));
  Detector.recordAnswerToOther(at(milliseconds(4'100)), at(seconds(3)));
  CHECK(Detector.isRecovering(at(seconds(5))));
  CHECK(Detector.availableFor(at(seconds(5))) == seconds(2));
}
