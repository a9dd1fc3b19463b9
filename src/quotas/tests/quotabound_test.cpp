#include "quotas/tests/quotafleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace cranberryspool;
using namespace cranberryspool::quotas;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

WorkspaceLimit limitOf(double Rate) {
  return {framework::WorkspaceName("w"), Rate, std::max(Rate, 5.0)};
}

/// Long enough for some tens of credits, short enough for all sizes.
Duration durationFor(double Rate) {
  if (Rate < 1)
    return seconds(200);
  return Rate < 10 ? seconds(60) : Rate < 1000 ? seconds(20) : seconds(8);
}

constexpr std::size_t Sizes[] = {13, 48, 129, 312, 584};
constexpr double Rates[] = {0.2, 2, 20, 200, 2000};

template <typename Check> void forEachCase(Check Run) {
  for (const std::size_t Instances : Sizes) {
    for (const double Rate : Rates) {
      QuotaFleet Fleet({.Instances_ = Instances, .Limit_ = limitOf(Rate)});
      INFO(Instances << " instances, " << Rate << " per second");
      Run(Fleet, Rate);
      CHECK(static_cast<double>(Fleet.largestWindow()) <= Fleet.bound());
      CHECK(Fleet.longestWait() <= milliseconds(50));
    }
  }
}

} // namespace

TEST_CASE("twice the quota uses at least 0.95 of it and stays in the bound",
          "[quotas]") {
  forEachCase([](QuotaFleet &Fleet, double Rate) {
    const Instant Start = Fleet.now();
    Fleet.run(2 * Rate, durationFor(Rate));
    Fleet.pass(milliseconds(50));
    const auto Ideal = static_cast<double>(Fleet.idealAdmittedSince(Start));
    CHECK(static_cast<double>(Fleet.admittedSince(Start)) >= 0.95 * Ideal);
  });
}

TEST_CASE("less than 0.5 % are refused below the quota", "[quotas]") {
  // At slow rates the sum over all sizes counts, as one call is more than
  // 0.5 % of a run. Calls beyond what one bucket admits are above the quota.
  std::size_t Refused = 0;
  std::size_t Arrived = 0;
  forEachCase([&](QuotaFleet &Fleet, double Rate) {
    const Instant Start = Fleet.now();
    Fleet.run(0.8 * Rate, durationFor(Rate));
    Fleet.pass(milliseconds(50));
    const std::size_t Ideal = Fleet.idealAdmittedSince(Start);
    const std::size_t Admitted = Fleet.admittedSince(Start);
    const std::size_t Below = Ideal > Admitted ? Ideal - Admitted : 0;
    Refused += Below;
    Arrived += Fleet.arrivedSince(Start);
    CHECK(static_cast<double>(Below) <=
          std::max(1.0, 0.005 * static_cast<double>(Ideal)));
  });
  CHECK(static_cast<double>(Refused) < 0.005 * static_cast<double>(Arrived));
}
