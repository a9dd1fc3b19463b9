#include "calls/latencyestimate.h"
#include "calls/retrybudget.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::calls;
using std::chrono::milliseconds;

TEST_CASE("retries are limited to a fraction of the successes", "[calls]") {
  RetryBudget Budget(40, 20, 0);
  std::uint32_t Taken = 0;
  for (std::uint32_t Success = 0; Success < 10'000; ++Success) {
    Budget.recordSuccess();
    if (Budget.tryTake())
      ++Taken;
  }
  CHECK(Taken <= 10'000 * 5 / 100);
  CHECK(Taken >= 10'000 * 3 / 100);
}

TEST_CASE("without successes a retry budget is exhausted and not refilled",
          "[calls]") {
  RetryBudget Budget(40, 20, 3);
  std::uint32_t Taken = 0;
  for (std::uint32_t Try = 0; Try < 1000; ++Try)
    if (Budget.tryTake())
      ++Taken;
  CHECK(Taken == 3);
}

TEST_CASE("a quantile follows the recent latencies", "[calls]") {
  LatencyEstimate Estimate(950);
  CHECK_FALSE(Estimate.quantile().has_value());
  for (std::uint32_t Sample = 0; Sample < 1000; ++Sample)
    Estimate.record(Sample % 10 == 0 ? milliseconds(100) : milliseconds(5));
  REQUIRE(Estimate.quantile().has_value());
  CHECK(*Estimate.quantile() >= milliseconds(100));
  CHECK(*Estimate.quantile() < milliseconds(115));
  for (std::uint32_t Sample = 0; Sample < 20'000; ++Sample)
    Estimate.record(milliseconds(5));
  CHECK(*Estimate.quantile() < milliseconds(6));
}
