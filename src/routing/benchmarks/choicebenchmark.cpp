#include "admission/admissionqueue.h"
#include "allocationcount.h"
#include "routing/defaultpolicy.h"
#include "routing/policies/blendpolicy.h"
#include "routing/policies/randompolicy.h"
#include "routing/targettable.h"

#include <benchmark/benchmark.h>

#include <deque>

namespace {

using namespace cranberryspool;
using namespace cranberryspool::framework;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t Slots = 6;
constexpr std::uint32_t MaxConnections = 20;
/// The number of attempts in flight while targets are selected.
constexpr std::size_t InFlight = 8;

template <typename Policy>
void setUp(routing::TargetTable<Policy> &Table, std::uint32_t Targets,
           std::uint32_t Services) {
  std::vector<routing::TargetDescription> Listed;
  for (std::uint32_t Index = 0; Index < Targets; ++Index)
    Listed.push_back({TargetId(Index), ServiceId(Index % Services),
                      ZoneId(Index % 3), Slots, false});
  const Instant Start(seconds(100));
  Table.setTargets(Listed, Start);
  for (std::uint32_t Index = 0; Index < Targets; ++Index) {
    Table.setLimits(TargetId(Index),
                    {0, MaxConnections, seconds(5), 0.5 * Index / Targets});
    Table.recordReport(TargetId(Index), {}, Start);
  }
}

void countAllocations(benchmark::State &State, std::uint64_t Before) {
  State.counters["allocations"] = benchmark::Counter(
      static_cast<double>(routing::allocationCount() - Before),
      benchmark::Counter::kAvgIterations);
}

/// Measures one selection: choose a target, record the send, and record the end
/// of an older attempt.
template <typename Policy> void chooseTarget(benchmark::State &State) {
  const auto Targets = static_cast<std::uint32_t>(State.range(0));
  const auto Services = static_cast<std::uint32_t>(State.range(1));
  routing::TargetTable<Policy> Table(ZoneId(0), Policy(), Random(1));
  setUp(Table, Targets, Services);
  Instant Now(seconds(101));
  std::deque<TargetId> Running;
  const routing::SelectionRequest Request{ServiceId(0)};
  const std::uint64_t Before = routing::allocationCount();
  for (auto Iteration : State) {
    Now += microseconds(50);
    const auto Target = Table.choose(Request, Now);
    benchmark::DoNotOptimize(Target);
    Table.recordSent(*Target, Now);
    Running.push_back(*Target);
    if (Running.size() <= InFlight)
      continue;
    Table.recordEnded(Running.front(), routing::AttemptResult::Answered,
                      milliseconds(8), Now);
    Running.pop_front();
  }
  countAllocations(State, Before);
}

/// Measures the admission of one call: offer, start and end.
void admitCall(benchmark::State &State) {
  admission::AdmissionQueue Queue;
  for (std::uint32_t Service = 0; Service < 24; ++Service)
    Queue.setCapacity(ServiceId(Service), {200, 15});
  Instant Now(seconds(101));
  std::uint64_t Call = 0;
  const std::uint64_t Before = routing::allocationCount();
  for (auto Iteration : State) {
    Now += microseconds(50);
    const CallId Id(++Call);
    benchmark::DoNotOptimize(Queue.offer(
        {Id, ServiceId(3), document::Urgency::Ordinary, Now, Now + seconds(1)},
        Now));
    benchmark::DoNotOptimize(Queue.next(ServiceId(3), Now));
    Queue.recordStarted(Id, Now);
    Queue.recordEnded(ServiceId(3), document::Urgency::Ordinary,
                      routing::AttemptResult::Answered, milliseconds(8),
                      routing::ServiceLoad::Unknown, Now);
  }
  countAllocations(State, Before);
}

/// The number of calls queued while calls are admitted; one more is offered.
constexpr std::uint64_t Queued = 511;
/// The number of request kinds, each with a priority of its own.
constexpr std::uint64_t Kinds = 4;

admission::QueuedCall queuedCall(std::uint64_t Id, std::uint32_t Workspaces,
                                 Instant Now) {
  admission::QueuedCall Call{CallId(Id), ServiceId(3),
                             document::Urgency::Ordinary, Now,
                             Now + seconds(600)};
  Call.LatestTimelyStart_ = Now + seconds(300);
  if (Workspaces > 0)
    Call.Workspace_ = WorkspaceId(static_cast<std::uint32_t>(Id % Workspaces));
  Call.Kind_ = static_cast<std::uint32_t>(Id % Kinds);
  Call.Priority_ = Call.Kind_;
  Call.Objective_ = seconds(300);
  Call.ExpectedWork_ = milliseconds(8);
  return Call;
}

/// Measures the same with a full queue, whose calls belong to a number of
/// workspaces, with and without load shedding for shared services.
void admitCallToFullQueue(benchmark::State &State) {
  const auto Workspaces = static_cast<std::uint32_t>(State.range(0));
  const auto Mode = State.range(1) == 0
                        ? scheduling::LoadSheddingMode::Off
                        : scheduling::LoadSheddingMode::SharedServices;
  admission::AdmissionQueue Queue({Mode});
  Queue.setCapacity(ServiceId(3), {200, 1});
  Instant Now(seconds(101));
  std::uint64_t Call = 0;
  while (Call < Queued)
    (void)Queue.offer(queuedCall(++Call, Workspaces, Now), Now);
  const std::uint64_t Before = routing::allocationCount();
  for (auto Iteration : State) {
    Now += microseconds(1);
    benchmark::DoNotOptimize(Queue.takeExpired(Now));
    benchmark::DoNotOptimize(
        Queue.offer(queuedCall(++Call, Workspaces, Now), Now));
    const auto Next = Queue.next(ServiceId(3), Now);
    Queue.recordStarted(*Next, Now);
    Queue.recordEnded(ServiceId(3), document::Urgency::Ordinary,
                      routing::AttemptResult::Answered, milliseconds(8),
                      routing::ServiceLoad::Unknown, Now);
  }
  countAllocations(State, Before);
}

/// The blend policy with its default parameters.
struct DefaultBlend : routing::BlendPolicy {
  DefaultBlend() : BlendPolicy(routing::BlendSettings{}) {}
};

} // namespace

BENCHMARK_TEMPLATE(chooseTarget, routing::DefaultPolicy)
    ->ArgNames({"targets", "services"})
    ->Args({15, 1})
    ->Args({120, 1})
    ->Args({780, 1})
    ->Args({780, 24});
BENCHMARK_TEMPLATE(chooseTarget, DefaultBlend)
    ->ArgNames({"targets", "services"})
    ->Args({15, 1})
    ->Args({120, 1})
    ->Args({780, 1});
BENCHMARK_TEMPLATE(chooseTarget, routing::RandomPolicy)
    ->ArgNames({"targets", "services"})
    ->Args({15, 1})
    ->Args({780, 1});
BENCHMARK(admitCall);
BENCHMARK(admitCallToFullQueue)
    ->ArgNames({"workspaces", "shared"})
    ->Args({0, 0})
    ->Args({0, 1})
    ->Args({83, 0})
    ->Args({83, 1});

BENCHMARK_MAIN();
