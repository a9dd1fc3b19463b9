#include "fleet/tests/chaosrun.h"

#include <catch2/catch.hpp>

using namespace cranberryspool::fleet;

namespace {

constexpr std::uint64_t RunCount = 1'000;

} // namespace

TEST_CASE("fleet-wide bounds hold under all faults together", "[chaos]") {
  ChaosResult Sum;
  for (std::uint64_t Seed = 1; Seed <= RunCount; ++Seed) {
    const ChaosResult Result = ChaosRun(Seed).run();
    INFO("seed " << Seed);
    CHECK(Result.ProbesTooSoon_ == 0);
    CHECK(Result.ColdOverloads_ == 0);
    CHECK(Result.KeysRunTwice_ == 0);
    CHECK(Result.RevisionRegressions_ == 0);
    Sum.Probes_ += Result.Probes_;
    Sum.ColdSends_ += Result.ColdSends_;
    Sum.Keys_ += Result.Keys_;
    Sum.KeysRun_ += Result.KeysRun_;
  }
  WARN("probes " << Sum.Probes_ << ", cold sends " << Sum.ColdSends_
                 << ", keys " << Sum.Keys_ << ", run " << Sum.KeysRun_);
  CHECK(Sum.Probes_ > 10 * RunCount);
  CHECK(Sum.ColdSends_ > 100 * RunCount);
  CHECK(Sum.KeysRun_ > Sum.Keys_ / 4);
}
