#include "routing/internal/targethealth.h"

#include <catch2/catch.hpp>

using namespace cranberryspool::framework;
using namespace cranberryspool::routing;
using std::chrono::seconds;

TEST_CASE("scattered failures do not eject a target", "[routing]") {
  TargetHealth Health;
  for (int Index = 0; Index < 100; ++Index) {
    const bool Fails = Index % 10 == 0;
    Health.record(Fails ? AttemptResult::ServerError : AttemptResult::Answered,
                  Instant{});
    CHECK_FALSE(Health.isFailing());
  }
}

TEST_CASE("a target that fails most of the time is failing", "[routing]") {
  TargetHealth Health;
  bool WasFailing = false;
  for (int Index = 0; Index < 40; ++Index) {
    const bool Fails = Index % 3 != 0;
    Health.record(Fails ? AttemptResult::TimedOut : AttemptResult::Answered,
                  Instant{});
    WasFailing = WasFailing || Health.isFailing();
  }
  CHECK(WasFailing);
}

TEST_CASE("repeated ejections grow longer, and are short again after a healthy "
          "period",
          "[routing]") {
  TargetHealth Health;
  Instant Now(seconds(100));
  Health.eject(Now);
  const Duration First = Health.blockedUntil() - Now;
  Now = Health.blockedUntil();
  Health.restore(Now);
  Health.eject(Now);
  CHECK(Health.blockedUntil() - Now == 2 * First);
  Now = Health.blockedUntil();
  Health.restore(Now);
  Now += seconds(60);
  Health.eject(Now);
  CHECK(Health.blockedUntil() - Now == First);
}
