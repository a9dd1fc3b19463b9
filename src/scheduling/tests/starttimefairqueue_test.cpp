#include "scheduling/starttimefairqueue.h"

#include <catch2/catch.hpp>

#include <map>
#include <vector>

using namespace cranberryspool;
using namespace cranberryspool::scheduling;

namespace {

FlowId flow(std::uint32_t Id) { return framework::WorkspaceId(Id); }

void add(StartTimeFairQueue &Queue, FlowId Flow, int Count, double Cost = 1) {
  for (int Index = 0; Index < Count; ++Index)
    Queue.add(Flow, Cost);
}

std::map<FlowId, int> start(StartTimeFairQueue &Queue, int Count) {
  std::map<FlowId, int> Started;
  for (int Index = 0; Index < Count; ++Index) {
    const auto Turn = Queue.next();
    Queue.recordStarted(Turn.Flow_, Turn.IsLate_);
    ++Started[Turn.Flow_];
  }
  return Started;
}

} // namespace

// Guards against a flow that gets ahead by queueing more or earlier calls.
TEST_CASE("flows take turns in proportion to their weights", "[scheduling]") {
  StartTimeFairQueue Queue;
  add(Queue, flow(1), 400);
  add(Queue, flow(2), 40);
  add(Queue, flow(3), 100, 0.5);
  const auto Started = start(Queue, 80);
  CHECK(Started.at(flow(1)) == 20);
  CHECK(Started.at(flow(2)) == 20);
  CHECK(Started.at(flow(3)) == 40);
}

// Guards against credit for idle time, with which a burst would go ahead of
// everyone.
TEST_CASE("a flow that was idle gets no credit for it", "[scheduling]") {
  StartTimeFairQueue Queue;
  add(Queue, flow(1), 200);
  start(Queue, 100);
  add(Queue, flow(2), 100);
  CHECK(start(Queue, 20).at(flow(2)) == 10);
}

// Guards against the starvation of a flow whose calls are late on arrival,
// because its targets are slow.
TEST_CASE("a flow with late calls only gets a quarter of its share",
          "[scheduling]") {
  StartTimeFairQueue Queue;
  add(Queue, flow(1), 400);
  add(Queue, flow(2), 100);
  for (int Index = 0; Index < 100; ++Index)
    Queue.demote(flow(2));
  CHECK(start(Queue, 200).at(flow(2)) >= 25);
  CHECK(Queue.lateCalls() >= 50);
}

// Guards against a refusal that hits a flow within its share.
TEST_CASE("the flow with most calls beyond its share is found",
          "[scheduling]") {
  StartTimeFairQueue Queue;
  add(Queue, flow(1), 5);
  add(Queue, flow(2), 30);
  add(Queue, flow(3), 40, 0.5);
  CHECK(Queue.furthestOverShare() == flow(2));
  CHECK_FALSE(Queue.wouldBeFurthestOverShare(flow(1), 1));
  CHECK(Queue.wouldBeFurthestOverShare(flow(2), 1));
  CHECK_FALSE(Queue.wouldBeFurthestOverShare(flow(9), 1));
}

// Guards against an expected wait that differs from the order of the starts.
TEST_CASE("the number of calls ahead is that of the starts before the call",
          "[scheduling]") {
  StartTimeFairQueue Queue;
  add(Queue, flow(1), 20);
  add(Queue, flow(2), 4);
  const std::size_t Ahead = Queue.countBefore(flow(3), 1, 0);
  CHECK(Ahead == 2);
  CHECK(Queue.countBefore(flow(3), 1, 10) == 10 + 11 + 4);
  Queue.add(flow(3), 1);
  std::size_t Before = 0;
  while (Queue.next().Flow_ != flow(3)) {
    start(Queue, 1);
    ++Before;
  }
  CHECK(Before == Ahead);
}

// Guards against memory that grows with every workspace that was ever seen.
TEST_CASE("a queue that empties starts anew", "[scheduling]") {
  StartTimeFairQueue Queue;
  for (std::uint32_t Id = 0; Id < 1000; ++Id) {
    add(Queue, flow(Id), 3);
    start(Queue, 3);
  }
  CHECK(Queue.timelyCalls() + Queue.lateCalls() == 0);
  CHECK(Queue.flowsHeld() <= 8);
}
