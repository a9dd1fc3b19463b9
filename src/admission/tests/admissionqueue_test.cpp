#include "admission/admissionqueue.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::admission;
using namespace cranberryspool::framework;
using document::Urgency;
using routing::AttemptResult;
using routing::ServiceLoad;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration Latency = milliseconds(10);

Instant at(Duration Time) { return Instant(seconds(100)) + Time; }

QueuedCall call(std::uint64_t Id, Urgency Urgency, Duration Arrival,
                Duration Timeout = seconds(1), std::uint32_t Service = 0) {
  return {CallId(Id), ServiceId(Service), Urgency, at(Arrival),
          at(Arrival) + Timeout};
}

/// Starts calls until the limit is reached, and returns them.
std::vector<CallId> startAll(AdmissionQueue &Queue, Instant Now) {
  std::vector<CallId> Started;
  while (const auto Next = Queue.next(ServiceId(0), Now)) {
    Queue.recordStarted(*Next, Now);
    Started.push_back(*Next);
  }
  return Started;
}

void fill(AdmissionQueue &Queue, std::uint64_t Count, Urgency Urgency) {
  for (std::uint64_t Id = 0; Id < Count; ++Id)
    REQUIRE(Queue.offer(call(1000 + Id, Urgency, {}), at({})));
}

} // namespace

TEST_CASE("slots are reserved for urgent calls", "[admission]") {
  AdmissionQueue Queue;
  Queue.setCapacity(ServiceId(0), {10, 1});
  fill(Queue, 20, Urgency::Ordinary);
  const auto Started = startAll(Queue, at({}));
  CHECK(Started.size() == 8);
  REQUIRE(Queue.offer(call(1, Urgency::Urgent, milliseconds(1)), at({})));
  CHECK(Queue.next(ServiceId(0), at({})) == CallId(1));
}

TEST_CASE("urgent calls have priority, but ordinary ones are not starved",
          "[admission]") {
  AdmissionQueue Queue;
  Queue.setCapacity(ServiceId(0), {100, 1});
  for (std::uint64_t Id = 0; Id < 10; ++Id)
    REQUIRE(Queue.offer(call(Id, Urgency::Ordinary, {}), at({})));
  REQUIRE(Queue.offer(call(50, Urgency::Urgent, milliseconds(5)), at({})));
  CHECK(Queue.next(ServiceId(0), at({})) == CallId(50));
  Queue.remove(CallId(50));
  for (std::uint64_t Id = 60; Id < 80; ++Id)
    REQUIRE(Queue.offer(call(Id, Urgency::Urgent, milliseconds(400)), at({})));
  std::vector<std::uint64_t> Started;
  for (int Start = 0; Start < 8; ++Start) {
    const auto Next = Queue.next(ServiceId(0), at(milliseconds(400)));
    REQUIRE(Next);
    Queue.recordStarted(*Next, at(milliseconds(400)));
    Started.push_back(Next->value());
  }
  CHECK(Started == std::vector<std::uint64_t>{60, 61, 62, 0, 63, 64, 65, 1});
}

TEST_CASE("one service does not delay another", "[admission]") {
  AdmissionQueue Queue;
  Queue.setCapacity(ServiceId(0), {2, 1});
  Queue.setCapacity(ServiceId(1), {2, 1});
  fill(Queue, 100, Urgency::Urgent);
  startAll(Queue, at({}));
  const auto Other = call(1, Urgency::Ordinary, {}, milliseconds(50), 1);
  REQUIRE(Queue.offer(Other, at({})));
  CHECK(Queue.next(ServiceId(1), at({})) == CallId(1));
  CHECK(Queue.startableServices() == std::vector<ServiceId>{ServiceId(1)});
}

TEST_CASE("a call that cannot be answered in time is refused early",
          "[admission]") {
  AdmissionQueue Queue;
  Queue.setCapacity(ServiceId(0), {10, 1});
  fill(Queue, 1, Urgency::Ordinary);
  startAll(Queue, at({}));
  Queue.recordEnded(ServiceId(0), Urgency::Ordinary, AttemptResult::Answered,
                    Latency, ServiceLoad::Unknown, at({}));
  fill(Queue, 200, Urgency::Ordinary);
  startAll(Queue, at({}));
  const auto Refused =
      Queue.offer(call(1, Urgency::Ordinary, {}, milliseconds(60)), at({}));
  REQUIRE_FALSE(Refused);
  CHECK(Refused.error().Reason_ == RefusalReason::DeadlineTooShort);
  CHECK(Refused.error().RetryAfter_ > milliseconds(100));
  CHECK(Queue.offer(call(2, Urgency::Urgent, {}, milliseconds(60)), at({})));
}

TEST_CASE("a queued call expires before it takes a slot", "[admission]") {
  AdmissionQueue Queue;
  Queue.setCapacity(ServiceId(0), {1, 1});
  REQUIRE(
      Queue.offer(call(1, Urgency::Ordinary, {}, milliseconds(50)), at({})));
  REQUIRE(Queue.offer(call(2, Urgency::Ordinary, {}), at({})));
  CHECK(Queue.nextWakeUp() == at(milliseconds(50)));
  CHECK(Queue.takeExpired(at(milliseconds(49))).empty());
  CHECK(Queue.takeExpired(at(milliseconds(50))) ==
        std::vector<CallId>{CallId(1)});
  CHECK_FALSE(Queue.remove(CallId(1)));
}

TEST_CASE("a full queue sheds the newest ordinary call for an urgent one",
          "[admission]") {
  AdmissionQueue Queue;
  Queue.setCapacity(ServiceId(0), {10, 1});
  std::uint64_t Id = 0;
  while (Queue.offer(call(Id, Urgency::Ordinary, Duration(Id)), at({})))
    ++Id;
  CHECK(Queue.queueLength(ServiceId(0), Urgency::Ordinary) == Id);
  REQUIRE(Queue.offer(call(5000, Urgency::Urgent, {}), at({})));
  CHECK(Queue.nextWakeUp() <= at({}));
  CHECK(Queue.takeExpired(at({})) == std::vector<CallId>{CallId(Id - 1)});
  CHECK(Queue.queueLength(ServiceId(0), Urgency::Urgent) == 1);
}

TEST_CASE("the limit decreases under overload and increases again",
          "[admission]") {
  AdmissionQueue Queue;
  Queue.setCapacity(ServiceId(0), {30, 10});
  fill(Queue, 300, Urgency::Urgent);
  auto Running = startAll(Queue, at({})).size();
  const auto InitialRunning = Running;
  const auto End = [&](AttemptResult Result, Instant Now) {
    Queue.recordEnded(ServiceId(0), Urgency::Urgent, Result, Latency,
                      ServiceLoad::Unknown, Now);
    --Running;
    Running += startAll(Queue, Now).size();
  };
  for (int Index = 0; Index < 20; ++Index)
    End(AttemptResult::NotRun, at(milliseconds(30 * Index)));
  const auto Low = Running;
  CHECK(Low < InitialRunning);
  CHECK(Low >= 3);
  for (int Index = 0; Index < 100; ++Index)
    End(AttemptResult::Answered, at(seconds(1)));
  CHECK(Running > Low);
}

TEST_CASE("the queue tells whether calls of a service are queued",
          "[admission]") {
  AdmissionQueue Queue;
  Queue.setCapacity(ServiceId(0), {10, 1});
  Queue.setCapacity(ServiceId(1), {10, 1});
  CHECK_FALSE(Queue.hasQueuedCalls(ServiceId(0)));
  fill(Queue, 20, Urgency::Ordinary);
  startAll(Queue, at({}));
  CHECK(Queue.hasQueuedCalls(ServiceId(0)));
  CHECK_FALSE(Queue.hasQueuedCalls(ServiceId(1)));
  for (std::uint64_t Id = 0; Id < 20; ++Id)
    Queue.remove(CallId(1000 + Id));
  CHECK_FALSE(Queue.hasQueuedCalls(ServiceId(0)));
}

TEST_CASE("a call of an unknown service is refused", "[admission]") {
  AdmissionQueue Queue;
  const auto Refused = Queue.offer(call(1, Urgency::Urgent, {}), at({}));
  REQUIRE_FALSE(Refused);
  CHECK(Refused.error().Reason_ == RefusalReason::UnknownService);
}

TEST_CASE("in a backlog calls that can still be in time start before late ones",
          "[admission]") {
  AdmissionQueue Queue;
  Queue.setCapacity(ServiceId(0), {100, 1});
  const auto Offer = [&](std::uint64_t Id, Duration Arrival, Duration Objective,
                         std::uint32_t Priority = 0) {
    QueuedCall Call = call(Id, Urgency::Ordinary, Arrival);
    Call.LatestTimelyStart_ = at(Arrival) + Objective;
    Call.Priority_ = Priority;
    REQUIRE(Queue.offer(Call, at(Arrival)));
  };
  Offer(1, {}, milliseconds(100));
  Offer(2, milliseconds(10), milliseconds(100));
  Offer(3, milliseconds(120), milliseconds(100));
  Offer(4, milliseconds(130), milliseconds(100));
  Offer(5, milliseconds(140), milliseconds(100), 1);
  CHECK(Queue.takeExpired(at(milliseconds(150))).empty());
  // The newest of those in time, then those of a lower priority, then the late
  // ones in the order of their arrival.
  CHECK(startAll(Queue, at(milliseconds(150))) ==
        std::vector<CallId>{CallId(4), CallId(3), CallId(5), CallId(1),
                            CallId(2)});
}

TEST_CASE("a call that will not start in time at the present rate is refused "
          "before its deadline",
          "[admission]") {
  AdmissionQueue Queue;
  Queue.setCapacity(ServiceId(0), {1, 1});
  for (std::uint64_t Id = 0; Id < 30; ++Id)
    REQUIRE(Queue.offer(call(Id, Urgency::Urgent, Duration(Id)), at({})));
  // One call starts each 100 ms, so ten of them start within a second.
  std::size_t Refused = 0;
  for (int Start = 0; Start < 5; ++Start) {
    const Instant Now = at(milliseconds(100 * Start));
    if (const auto Next = Queue.next(ServiceId(0), Now)) {
      Queue.recordStarted(*Next, Now);
      Queue.recordEnded(ServiceId(0), Urgency::Urgent, AttemptResult::Answered,
                        Latency, ServiceLoad::Unknown, Now);
    }
    Refused += Queue.takeExpired(Now).size();
  }
  CHECK(Refused >= 10);
  CHECK(Queue.queueLength(ServiceId(0), Urgency::Urgent) >= 5);
  CHECK(Queue.drainTime(ServiceId(0), at(milliseconds(400))) >
        Duration::zero());
}

TEST_CASE("the limit follows the number of instances that share the slots",
          "[admission]") {
  AdmissionQueue Queue;
  Queue.setCapacity(ServiceId(0), {24, 1});
  Queue.setCapacity(ServiceId(0), {24, 17});
  fill(Queue, 24, Urgency::Ordinary);
  CHECK(startAll(Queue, at({})).size() <= 6);
}

// Guards against an adaptive limit that allows more than the share.
TEST_CASE("a share replaces the adaptive limit until it is withdrawn",
          "[admission]") {
  ConcurrencyLimit Limit;
  Limit.setCapacity({.Slots_ = 24, .Instances_ = 17});
  const auto Adaptive = Limit.limit(document::Urgency::Ordinary);
  Limit.setShare(2);
  CHECK(Limit.limit(document::Urgency::Ordinary) == 2);
  CHECK(Limit.limit(document::Urgency::Urgent) == 3);
  Limit.setShare(0);
  CHECK(Limit.limit(document::Urgency::Ordinary) == 0);
  Limit.setShare(std::nullopt);
  CHECK(Limit.limit(document::Urgency::Ordinary) == Adaptive);
}

TEST_CASE("lost connections lower the limit only while the service is busy",
          "[admission]") {
  const auto Load = GENERATE(ServiceLoad::Low, ServiceLoad::Busy);
  AdmissionQueue Queue;
  Queue.setCapacity(ServiceId(0), {30, 10});
  fill(Queue, 100, Urgency::Ordinary);
  const std::size_t Before = startAll(Queue, at({})).size();
  for (std::size_t Index = 0; Index < Before; ++Index)
    Queue.recordEnded(ServiceId(0), Urgency::Ordinary,
                      AttemptResult::ConnectionFailed, Latency, Load,
                      at(milliseconds(30 * Index)));
  const std::size_t After = startAll(Queue, at(milliseconds(300))).size();
  CHECK((After < Before) == (Load == ServiceLoad::Busy));
  // The even share remains.
  CHECK(After >= 3);
}
