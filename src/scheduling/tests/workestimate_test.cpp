#include "framework/random.h"
#include "scheduling/workestimate.h"

#include <catch2/catch.hpp>

using namespace cranberryspool::scheduling;
using cranberryspool::framework::Duration;
using cranberryspool::framework::Random;
using std::chrono::milliseconds;

// Guards against an estimate that follows slow targets: the mean would be 2.8
// times the time of the others.
TEST_CASE("three in ten slow targets shift the expected work little",
          "[scheduling]") {
  WorkEstimate Estimate;
  Random Rng(1);
  for (int Sample = 0; Sample < 2000; ++Sample)
    Estimate.record(milliseconds(Rng.index(10) < 3 ? 140 : 20));
  CHECK(Estimate.median() >= milliseconds(18));
  CHECK(Estimate.median() <= milliseconds(28));
}

// Guards against an estimate that never leaves its first value.
TEST_CASE("the expected work follows a lasting change", "[scheduling]") {
  WorkEstimate Estimate;
  Estimate.record(milliseconds(400));
  for (int Sample = 0; Sample < 100; ++Sample)
    Estimate.record(milliseconds(20));
  CHECK(Estimate.median() == milliseconds(20));
}

// Guards against values outside of what a call can take.
TEST_CASE("absurd run times are limited", "[scheduling]") {
  WorkEstimate Estimate;
  CHECK(Estimate.median() == Duration::zero());
  for (const Duration Sample :
       {Duration::min(), Duration(-1), Duration(0), Duration::max()})
    Estimate.record(Sample);
  CHECK(Estimate.median() >= Duration(1));
  CHECK(Estimate.median() <= std::chrono::minutes(10));
}
