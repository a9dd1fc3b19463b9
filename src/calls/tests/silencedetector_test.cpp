#include "calls/silencedetector.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::calls;
using framework::AttemptId;
using framework::Instant;
using std::chrono::milliseconds;

namespace {

constexpr SilenceThresholds Thresholds{
    .LaterAnswers_ = 3, .WaitFactor_ = 4, .MinWait_ = milliseconds(20)};

Attempt sent(std::uint64_t Id, Instant When) {
  Attempt Sent;
  Sent.Attempt_ = AttemptId(Id);
  Sent.IsIdempotent_ = true;
  Sent.State_ = AttemptState::Sent;
  Sent.SentAt_ = When;
  return Sent;
}

} // namespace

TEST_CASE("a connection is silent when later attempts are answered",
          "[calls]") {
  SilenceDetector Detector(Thresholds, Thresholds);
  const Attempt Waiting = sent(1, Instant{});
  Detector.recordSent(Waiting);
  for (std::uint64_t Id = 2; Id <= 4; ++Id) {
    const Attempt Later = sent(Id, Instant{} + milliseconds(Id));
    Detector.recordSent(Later);
    Detector.recordAnswered(Later, milliseconds(10));
    Detector.stopWatching(Later);
  }
  CHECK_FALSE(Detector.takeSilent(Instant{} + milliseconds(39)).has_value());
  CHECK(Detector.takeSilent(Instant{} + milliseconds(40)) == Waiting.Attempt_);
}

TEST_CASE("a target that is slow on all connections is not silent", "[calls]") {
  SilenceDetector Detector(Thresholds, Thresholds);
  for (std::uint64_t Id = 1; Id <= 6; ++Id)
    Detector.recordSent(sent(Id, Instant{} + milliseconds(Id)));
  // Only the attempts that were sent first are answered.
  for (std::uint64_t Id = 1; Id <= 3; ++Id) {
    const Attempt Early = sent(Id, Instant{} + milliseconds(Id));
    Detector.recordAnswered(Early, milliseconds(500));
    Detector.stopWatching(Early);
  }
  CHECK_FALSE(Detector.nextWakeUp().has_value());
}

TEST_CASE("an attempt whose response has begun is not reported as silent",
          "[calls]") {
  SilenceDetector Detector(Thresholds, Thresholds);
  const Attempt Waiting = sent(1, Instant{});
  Detector.recordSent(Waiting);
  for (std::uint64_t Id = 2; Id <= 4; ++Id)
    Detector.recordAnswered(sent(Id, Instant{} + milliseconds(Id)),
                            milliseconds(10));
  Detector.stopWatching(Waiting);
  CHECK_FALSE(Detector.takeSilent(Instant{} + milliseconds(500)).has_value());
}
