#include "decision/internal/engine.h"

#include "decision/internal/statuscollector.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace cranberryspool::decision {

namespace {

constexpr framework::Duration TickInterval = std::chrono::milliseconds(100);
/// After this a new instance is ready even if some service has no target yet
/// that it may send to.
constexpr framework::Duration MaxReadinessWait = std::chrono::seconds(20);

} // namespace

Engine::Engine(CoreSettings Settings, framework::Random Rng)
    : Parts_(std::move(Settings), Rng), Connections_(Parts_),
      Attempts_(Parts_, Connections_), Ender_(Parts_, Attempts_),
      Waiting_(Parts_, Ender_), Notes_(Parts_),
      Outcomes_(Parts_, Connections_, Attempts_, Ender_, Waiting_, Notes_),
      Prober_(Parts_, Notes_), Environment_(Parts_, Outcomes_),
      Keyed_(Parts_, Ender_, Waiting_), View_(Parts_, Ender_),
      Intake_(Parts_, Ender_, Waiting_, Keyed_, View_), Stop_(Parts_, Intake_),
      Fleet_(Parts_, Environment_, Keyed_, Stop_),
      Dispatcher_(Parts_, Attempts_) {}

void Engine::handle(const Step &At, const Event &Input) {
  if (!LastHandled_)
    begin(At);
  else if (At.now() - *LastHandled_ > Parts_.Settings_.MaxEventGap_)
    View_.notePause(At);
  LastHandled_ = At.now();
  expire(At);
  std::visit([&](const auto &Event) { dispatch(At, Event); }, Input);
  settle(At);
}

framework::Instant Engine::nextWakeUp() const {
  framework::Instant Next = LastHandled_.value_or(framework::Instant{});
  Next += TickInterval;
  const auto Consider = [&](std::optional<framework::Instant> Due) {
    Next = std::min(Next, Due.value_or(Next));
  };
  Consider(Parts_.Deadlines_.next());
  Consider(Parts_.Hedges_.next());
  Consider(Parts_.Abandoned_.next());
  Consider(Parts_.Silence_.nextWakeUp());
  Consider(Parts_.Targets_.nextWakeUp());
  Consider(Parts_.Queue_.nextWakeUp());
  Consider(Parts_.Fleet_.nextWakeUp());
  return Next;
}

CoreStatus Engine::status() const {
  CoreStatus Status =
      StatusView(Parts_).collect(LastHandled_.value_or(framework::Instant{}));
  Status.IsReady_ = IsReady_;
  Status.IsStopping_ = Stop_.isRequested();
  return Status;
}

ViewStatus Engine::view() const {
  const framework::Instant Now = LastHandled_.value_or(framework::Instant{});
  return ViewStatus{.Document_ = Parts_.Fleet_.documentRevision(),
                    .Revision_ = Parts_.Fleet_.listRevision(),
                    .Age_ = Parts_.Fleet_.viewAge(Now)};
}

void Engine::begin(const Step &At) {
  BegunAt_ = At.now();
  At.Output_.push_back(SetReadiness{false});
  Parts_.Fleet_.start(At.Now_, Parts_.FleetOutput_);
}

void Engine::expire(const Step &At) {
  Intake_.dropOverdue(At);
  Attempts_.dropAbandoned(At);
  Outcomes_.dropSilent(At);
}

void Engine::settle(const Step &At) {
  if (At.now() >= Parts_.Fleet_.nextWakeUp())
    Parts_.Fleet_.tick(At.Now_, Parts_.FleetOutput_);
  Fleet_.carryOut(At);
  Parts_.Targets_.advance(At.now());
  View_.update(At);
  if (At.now() >= LastTended_ + TickInterval)
    tend(At);
  Waiting_.dropExpired(At);
  const bool MayStart = View_.isFresh(At.now());
  if (MayStart)
    Dispatcher_.startQueued(At);
  Dispatcher_.startHedges(At, MayStart);
  Notes_.report(At);
  updateReadiness(At);
  Stop_.advance(At);
  // The calls that ended meanwhile may have told the fleet of their keys.
  Fleet_.carryOut(At);
}

void Engine::tend(const Step &At) {
  LastTended_ = At.now();
  Outcomes_.dropUnopened(At);
  if (!View_.isFresh(At.now()) || Stop_.isFinished())
    return;
  Connections_.tend(At);
  Prober_.probe(At);
}

void Engine::updateReadiness(const Step &At) {
  const bool MayAccept = View_.mayAccept(At.now()) && !Stop_.isRequested();
  // A new instance first waits until it may send somewhere.
  const bool IsReady = MayAccept && (IsReady_ || maySendSomewhere(At));
  if (IsReady == IsReady_)
    return;
  IsReady_ = IsReady;
  At.Output_.push_back(SetReadiness{IsReady});
}

bool Engine::maySendSomewhere(const Step &At) const {
  if (Parts_.Fleet_.readsStore())
    return true;
  const std::size_t Usable = Environment_.usableServices(At.now());
  if (Usable == 0)
    return false;
  return Usable == Environment_.servedServices() ||
         At.now() >= BegunAt_ + MaxReadinessWait;
}

void Engine::dispatch(const Step &At, const StopRequested &) {
  Stop_.request(At);
}

void Engine::dispatch(const Step &At, const CallArrived &Input) {
  Intake_.handle(At, Input);
}

void Engine::dispatch(const Step &At, const CallerGone &Input) {
  Intake_.handle(At, Input);
}

void Engine::dispatch(const Step &At, const KeptAnswerFetched &Input) {
  Keyed_.handle(At, Input);
}

void Engine::dispatch(const Step &At, const ProbeAnswered &Input) {
  Prober_.handle(At, Input);
}

void Engine::dispatch(const Step &At, const ProbeFailed &Input) {
  Prober_.handle(At, Input);
}

} // namespace cranberryspool::decision
