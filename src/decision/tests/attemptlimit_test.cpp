#include "decision/tests/storefixture.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::decision;
using std::chrono::milliseconds;

namespace {

/// Returns a fixture whose targets are warm and whose next connections open
/// slowly.
StoreFixture makeWarmFixture(framework::Duration ConnectTime,
                             CoreSettings Settings = StoreFixture::settings()) {
  StoreFixture Fixture(std::move(Settings));
  // In its first second an instance probes each target only once.
  Fixture.pass(milliseconds(1'100));
  Fixture.answerProbes(framework::TargetId(99), 100);
  Fixture.ConnectTime_ = ConnectTime;
  return Fixture;
}

} // namespace

TEST_CASE("an attempt that waits for a connection is reported as waiting, and "
          "as sent once it is sent",
          "[attempts]") {
  CoreSettings Settings = StoreFixture::settings();
  Settings.ReportsAttempts_ = true;
  StoreFixture Fixture = makeWarmFixture(milliseconds(20), std::move(Settings));
  auto Reports =
      StoreFixture::actionsOf<ReportAttempt>(Fixture.sendCall(1, "/a/x"));
  REQUIRE(Reports.size() == 1);
  CHECK_FALSE(Reports[0].IsSent_);
  CHECK(Reports[0].SentAttempts_ == 0);
  CHECK(Reports[0].MaxAttempts_ == 2);
  CHECK(Reports[0].InFlight_ == 0);
  Reports =
      StoreFixture::actionsOf<ReportAttempt>(Fixture.pass(milliseconds(30)));
  REQUIRE(Reports.size() == 1);
  CHECK(Reports[0].IsSent_);
  CHECK(Reports[0].SentAttempts_ == 1);
  CHECK(Reports[0].Waited_ >= milliseconds(20));
}
