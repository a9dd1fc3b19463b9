#include "report/callcounters.h"

#include <catch2/catch.hpp>

using namespace cranberryspool::report;
using namespace std::chrono_literals;
using cranberryspool::document::Urgency;
using cranberryspool::framework::ServiceName;
using cranberryspool::framework::WallTime;

namespace {

const ObjectiveKey Key{ServiceName("shop"), Urgency::Urgent};
const WallTime Start(480'000h);

} // namespace

TEST_CASE("calls are counted by bucket", "[report]") {
  CallCounters Counters;
  Counters.record(Key, true, Start + 1s);
  Counters.record(Key, false, Start + 9s);
  Counters.record(Key, true, Start + 10s);
  CHECK(Counters.buckets() ==
        std::vector<BurnRow>{{Key, Start, 10s, {1, 1}},
                             {Key, Start + 10s, 10s, {1, 0}}});
}

TEST_CASE("old buckets are folded and the oldest dropped", "[report]") {
  CallCounters Counters;
  std::uint64_t Calls = 0;
  for (auto Now = Start; Now < Start + 80h; Now += 10s) {
    Counters.record(Key, true, Now);
    ++Calls;
  }
  const auto Rows = Counters.buckets();
  CHECK(Rows.size() <= 361 + 865);
  std::uint64_t Kept = 0;
  for (const BurnRow &Each : Rows)
    Kept += Each.Count_.Good_;
  const std::uint64_t WithinSpan = 72 * 360;
  CHECK(Kept >= WithinSpan);
  CHECK(Kept <= WithinSpan + 30);
  CHECK(Kept < Calls);
}
