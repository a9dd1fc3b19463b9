#include "admission/admissionqueue.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::admission;
using namespace cranberryspool::framework;
using document::Urgency;
using scheduling::LoadSheddingMode;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr ServiceId Service{};
constexpr Instant Start{seconds(100)};

QueuedCall callOf(std::uint64_t Id, std::uint32_t Kind, Instant Now,
                  Duration Timeout = seconds(2)) {
  QueuedCall Call{CallId(Id), Service,
                  Kind == 0 ? Urgency::Urgent : Urgency::Ordinary, Now,
                  Now + Timeout};
  Call.Priority_ = Kind;
  Call.Kind_ = Kind;
  Call.Objective_ = milliseconds(200 + 500 * Kind);
  Call.LatestTimelyStart_ = Now + Call.Objective_;
  Call.ExpectedWork_ = milliseconds(10);
  return Call;
}

/// Starts and ends one call.
void serveOne(AdmissionQueue &Queue, Instant Now) {
  const auto Next = Queue.next(Service, Now);
  REQUIRE(Next);
  const auto Urgent = Queue.queueLength(Service, Urgency::Urgent);
  Queue.recordStarted(*Next, Now);
  const auto Started = Queue.queueLength(Service, Urgency::Urgent) < Urgent
                           ? Urgency::Urgent
                           : Urgency::Ordinary;
  Queue.recordEnded(Service, Started, routing::AttemptResult::Answered,
                    milliseconds(10), routing::ServiceLoad::Unknown, Now);
}

} // namespace

// Guards against a mode that changes services which only one kind uses.
TEST_CASE("a service that is not shared keeps the order of before",
          "[admission]") {
  AdmissionQueue Before;
  AdmissionQueue Shared({LoadSheddingMode::SharedServices});
  for (AdmissionQueue *Queue : {&Before, &Shared}) {
    Queue->setCapacity(Service, {4, 1});
    for (std::uint64_t Id = 1; Id <= 100; ++Id)
      REQUIRE(Queue->offer(callOf(Id, 1, Start + Duration(Id)), Start));
  }
  for (int Index = 0; Index < 100; ++Index) {
    const Instant Now = Start + milliseconds(10) * Index;
    CHECK(Before.takeExpired(Now) == Shared.takeExpired(Now));
    CHECK(Before.drainTime(Service, Now) == Shared.drainTime(Service, Now));
    const auto Next = Before.next(Service, Now);
    REQUIRE(Next == Shared.next(Service, Now));
    if (!Next) {
      CHECK(Index == 100);
      break;
    }
    for (AdmissionQueue *Queue : {&Before, &Shared})
      serveOne(*Queue, Now);
  }
}

// Guards against calls that are lost when a second kind begins to use a
// service.
TEST_CASE("calls queued before a service is shared start first",
          "[admission]") {
  AdmissionQueue Queue({LoadSheddingMode::SharedServices});
  Queue.setCapacity(Service, {100, 1});
  REQUIRE(Queue.offer(callOf(1, 2, Start), Start));
  REQUIRE(Queue.offer(callOf(2, 1, Start), Start));
  REQUIRE(Queue.offer(callOf(3, 0, Start), Start));
  CHECK(Queue.queueLength(Service, Urgency::Urgent) == 1);
  CHECK(Queue.queueLength(Service, Urgency::Ordinary) == 2);
  std::vector<std::uint64_t> Started;
  while (const auto Next = Queue.next(Service, Start)) {
    Started.push_back(Next->value());
    Queue.recordStarted(*Next, Start);
  }
  CHECK(Started == std::vector<std::uint64_t>{1, 3, 2});
  CHECK_FALSE(Queue.hasQueuedCalls(Service));
}

// Guards against a full queue that refuses a higher priority, and against a
// call that is refused without anyone hearing of it.
TEST_CASE("a full shared service sheds the lowest priority", "[admission]") {
  AdmissionQueue Queue({LoadSheddingMode::SharedServices});
  Queue.setCapacity(Service, {1, 1});
  std::uint64_t Id = 0;
  REQUIRE(Queue.offer(callOf(++Id, 1, Start, seconds(600)), Start));
  while (Queue.offer(callOf(Id + 1, 2, Start, seconds(600)), Start))
    ++Id;
  CHECK(Id == 512);
  for (std::uint64_t Urgent = 1000; Urgent < 1600; ++Urgent)
    (void)Queue.offer(callOf(Urgent, 0, Start, seconds(600)), Start);
  CHECK(Queue.takeExpired(Start).size() >= 490);
  // The lower priorities keep a few calls, so that they do not starve.
  CHECK(Queue.queueLength(Service, Urgency::Ordinary) >= 16);
  CHECK(Queue.queueLength(Service, Urgency::Urgent) >= 490);
}

// Guards against a call that waits for its deadline although it will not start
// in time, and against a retry time shorter than the queue.
TEST_CASE("a call of a shared service that cannot be in time is refused early",
          "[admission]") {
  AdmissionQueue Queue({LoadSheddingMode::SharedServices});
  Queue.setCapacity(Service, {1, 1});
  Instant Now = Start;
  std::uint64_t Id = 0;
  for (int Index = 0; Index < 40; ++Index) {
    for (std::uint32_t Kind = 0; Kind < 3; ++Kind)
      (void)Queue.offer(callOf(++Id, Kind, Now), Now);
    (void)Queue.takeExpired(Now);
    serveOne(Queue, Now);
    Now += milliseconds(100);
  }
  // One call starts each 100 ms.
  const auto Waiting = Queue.queueLength(Service, Urgency::Urgent) +
                       Queue.queueLength(Service, Urgency::Ordinary);
  CHECK(Waiting <= 40);
  CHECK(Queue.drainTime(Service, Now) >=
        milliseconds(90) * static_cast<std::int64_t>(Waiting));
  const auto Refused =
      Queue.offer(callOf(++Id, 2, Now, milliseconds(150)), Now);
  REQUIRE_FALSE(Refused);
  CHECK(Refused.error().Reason_ == RefusalReason::DeadlineTooShort);
  CHECK(Refused.error().RetryAfter_ >= milliseconds(100));
}

// Guards against values without a defined outcome. A deadline that has passed
// is refused; objectives and work that make no sense are limited or ignored.
TEST_CASE("absurd values of a call of a shared service have an outcome",
          "[admission]") {
  const Duration Absurd = GENERATE(Duration(0), Duration(-1), Duration(1),
                                   Duration::max(), Duration::min());
  AdmissionQueue Queue({LoadSheddingMode::SharedServices});
  Queue.setCapacity(Service, {2, 1});
  REQUIRE(Queue.offer(callOf(1, 1, Start), Start));
  QueuedCall Odd = callOf(2, 2, Start);
  Odd.Objective_ = Absurd;
  Odd.ExpectedWork_ = Absurd;
  Odd.Priority_ = std::numeric_limits<std::uint32_t>::max();
  Odd.LatestTimelyStart_ = Start - seconds(1);
  const auto Offered = Queue.offer(Odd, Start);
  // Work of minutes does not fit into the two seconds.
  CHECK(Offered.has_value() == (Absurd != Duration::max()));
  QueuedCall Passed = callOf(3, 0, Start, -seconds(1));
  CHECK_FALSE(Queue.offer(Passed, Start));
  std::size_t Ended = Queue.takeExpired(Start).size();
  while (const auto Next = Queue.next(Service, Start)) {
    Queue.recordStarted(*Next, Start);
    Queue.recordEnded(Service, Urgency::Ordinary,
                      routing::AttemptResult::Answered, milliseconds(10),
                      routing::ServiceLoad::Unknown, Start);
    ++Ended;
  }
  CHECK(Ended == (Offered ? 2 : 1));
}
