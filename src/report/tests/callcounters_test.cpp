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

TEST_CASE("calls are counted in time buckets", "[report]") {
  CallCounters Counters;
  Counters.record(Key, true, Start + 1s);
  Counters.record(Key, false, Start + 9s);
  Counters.record(Key, true, Start + 10s);
  CHECK(Counters.buckets() ==
        std::vector<CallCountBucket>{{Key, Start, 10s, {1, 1}},
                                     {Key, Start + 10s, 10s, {1, 0}}});
}

TEST_CASE("old buckets are merged and expired ones dropped", "[report]") {
  CallCounters Counters;
  std::uint64_t RecordedCalls = 0;
  for (auto Now = Start; Now < Start + 80h; Now += 10s) {
    Counters.record(Key, true, Now);
    ++RecordedCalls;
  }
  const auto Buckets = Counters.buckets();
  CHECK(Buckets.size() <= 361 + 865);
  std::uint64_t RetainedCalls = 0;
  for (const CallCountBucket &Bucket : Buckets)
    RetainedCalls += Bucket.Count_.Good_;
  const std::uint64_t CallsWithinRetention = 72 * 360;
  CHECK(RetainedCalls >= CallsWithinRetention);
  CHECK(RetainedCalls <= CallsWithinRetention + 30);
  CHECK(RetainedCalls < RecordedCalls);
}
