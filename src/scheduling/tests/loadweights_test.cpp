#include "scheduling/loadweights.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::scheduling;
using framework::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

FlowId flow(std::uint32_t Id) { return framework::WorkspaceId(Id); }

/// Records calls of ten flows at one call a second each, and of flow 0 at the
/// given rate. Returns the last cost of flow 0 and sets the end.
double run(LoadWeights &Weights, int RateOfFirst, Instant &Now, int Seconds) {
  double Cost = 0;
  for (int Second = 0; Second < Seconds; ++Second) {
    for (int Call = 0; Call < RateOfFirst; ++Call)
      Cost = Weights.recordCall(flow(0), Now + Call * seconds(1) / RateOfFirst);
    for (std::uint32_t Id = 1; Id <= 10; ++Id)
      Weights.recordCall(flow(Id), Now + milliseconds(90) * Id);
    Now += seconds(1);
  }
  return Cost;
}

} // namespace

// Guards against equal shares for a workspace whose usual load is high: it
// would bear every shortage alone.
TEST_CASE("a high usual load is a high share", "[scheduling]") {
  LoadWeights Weights;
  Instant Now(seconds(100));
  // The mean is 20 / 11 calls a second.
  const double Cost = run(Weights, 10, Now, 1200);
  CHECK(Cost == Approx(20.0 / 11 / 10).epsilon(0.2));
}

// Guards against a burst that is taken for the usual load.
TEST_CASE("a burst counts for a third of its rate", "[scheduling]") {
  LoadWeights Weights;
  Instant Now(seconds(100));
  CHECK(run(Weights, 1, Now, 600) > 0.8);
  const double Cost = run(Weights, 10, Now, 20);
  CHECK(Cost == Approx(20.0 / 11 / (10.0 / 3)).epsilon(0.3));
}

// Guards against costs of zero or infinity, which would stop the turns.
TEST_CASE("the cost of a call is positive and at most 1", "[scheduling]") {
  LoadWeights Weights;
  Instant Now(seconds(100));
  for (int Call = 0; Call < 100'000; ++Call) {
    const double Cost = Weights.recordCall(flow(1), Now);
    REQUIRE(Cost > 0);
    REQUIRE(Cost <= 1);
  }
  // A clock that stands still or goes back, and a long pause.
  CHECK(Weights.recordCall(flow(2), Now - seconds(50)) > 0);
  CHECK(Weights.recordCall(flow(1), Now + std::chrono::hours(10'000)) == 1);
}

// Guards against memory that grows with every workspace that was ever seen.
TEST_CASE("a workspace without calls is forgotten", "[scheduling]") {
  LoadWeights Weights;
  for (std::uint32_t Id = 0; Id < 5000; ++Id)
    Weights.recordCall(flow(Id), Instant(seconds(10 * Id)));
  CHECK(Weights.size() < 200);
}
