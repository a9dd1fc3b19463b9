#include "fleet/tests/chaosrun.h"

#include <catch2/catch.hpp>

using namespace cranberryspool::fleet;

namespace {

constexpr std::uint64_t RunCount = 1'000;

} // namespace

TEST_CASE("fleet-wide limits hold under combined faults", "[chaos]") {
  ChaosResult Totals;
  for (std::uint64_t Seed = 1; Seed <= RunCount; ++Seed) {
    const ChaosResult Result = ChaosRun(Seed).run();
    INFO("seed " << Seed);
    CHECK(Result.ProbesTooSoon_ == 0);
    CHECK(Result.ColdOverloads_ == 0);
    CHECK(Result.KeysRunTwice_ == 0);
    CHECK(Result.RevisionRegressions_ == 0);
    Totals.Probes_ += Result.Probes_;
    Totals.ColdSends_ += Result.ColdSends_;
    Totals.Keys_ += Result.Keys_;
    Totals.KeysRun_ += Result.KeysRun_;
  }
  WARN("probes " << Totals.Probes_ << ", cold sends " << Totals.ColdSends_
                 << ", keys " << Totals.Keys_ << ", run " << Totals.KeysRun_);
  CHECK(Totals.Probes_ > 10 * RunCount);
  CHECK(Totals.ColdSends_ > 100 * RunCount);
  CHECK(Totals.KeysRun_ > Totals.Keys_ / 4);
}
