#include "calls/windowbudget.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::calls;
using framework::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("no window contains more extra attempts than allowed", "[calls]") {
  WindowBudget Budget(seconds(10));
  std::vector<Instant> Taken;
  for (int Step = 0; Step < 6'000; ++Step) {
    const Instant Now = Instant(seconds(100)) + milliseconds(10) * Step;
    if (Step % 4 == 0)
      Budget.recordCall(Now);
    if (Budget.tryReserve(0.2, 3, Now)) {
      Budget.recordSent(Now);
      Taken.push_back(Now);
    }
  }
  // There are 25 calls per second.
  for (std::size_t From = 0; From < Taken.size(); ++From) {
    std::size_t Count = 0;
    while (From + Count < Taken.size() &&
           Taken[From + Count] < Taken[From] + seconds(10))
      ++Count;
    CHECK(Count <= 0.2 * 251 + 3);
  }
  CHECK(Taken.size() >= 250);
}

TEST_CASE("without calls only the slack is available", "[calls]") {
  WindowBudget Budget(seconds(10));
  int Taken = 0;
  for (int Try = 0; Try < 50; ++Try)
    Taken += Budget.tryReserve(0.2, 3, Instant(seconds(1))) ? 1 : 0;
  CHECK(Taken == 3);
}

TEST_CASE("a reserved attempt counts until it is released or, once sent, for "
          "the length of the window",
          "[calls]") {
  const auto At = [](int Second) { return Instant(seconds(100 + Second)); };
  WindowBudget Budget(seconds(10));
  REQUIRE(Budget.tryReserve(0, 1, At(0)));
  CHECK_FALSE(Budget.tryReserve(0, 1, At(15)));
  Budget.recordSent(At(15));
  CHECK_FALSE(Budget.tryReserve(0, 1, At(24)));
  REQUIRE(Budget.tryReserve(0, 1, At(25)));
  Budget.release();
  CHECK(Budget.tryReserve(0, 1, At(25)));
}
