#include "decision/internal/engine.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace cranberryspool::decision {

namespace {

constexpr framework::Duration TickInterval = std::chrono::milliseconds(100);

ChangeKind kindOf(routing::TargetChangeKind Kind) {
  switch (Kind) {
  case routing::TargetChangeKind::Ejected:
    return ChangeKind::TargetEjected;
  case routing::TargetChangeKind::Restored:
    return ChangeKind::TargetRestored;
  case routing::TargetChangeKind::TurnedCold:
    return ChangeKind::TargetCold;
  case routing::TargetChangeKind::TurnedWarm:
    return ChangeKind::TargetWarm;
  case routing::TargetChangeKind::Draining:
    break;
  }
  return ChangeKind::TargetLeaving;
}

} // namespace

Engine::Engine(CoreSettings Settings, framework::Random Rng)
    : Parts_(std::move(Settings), Rng), Connections_(Parts_),
      Attempts_(Parts_, Connections_), Ender_(Parts_, Attempts_),
      Waiting_(Parts_, Ender_),
      Outcomes_(Parts_, Connections_, Attempts_, Ender_, Waiting_),
      Environment_(Parts_, Outcomes_), Fleet_(Environment_),
      Keyed_(Parts_, Ender_, Waiting_),
      Intake_(Parts_, Ender_, Waiting_, Keyed_, Fleet_),
      Dispatcher_(Parts_, Attempts_), Stop_(Parts_, Intake_) {}

void Engine::handle(const Step &At, const Event &Input) {
  if (!LastHandled_)
    begin(At);
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
  return Next;
}

void Engine::begin(const Step &At) {
  At.Output_.push_back(SetReadiness{false});
  Fleet_.start(At);
}

void Engine::expire(const Step &At) {
  Intake_.dropOverdue(At);
  Waiting_.dropExpired(At);
  Attempts_.dropAbandoned(At);
  Outcomes_.dropSilent(At);
}

void Engine::settle(const Step &At) {
  Parts_.Targets_.advance(At.now());
  Waiting_.dropExpired(At);
  const bool MayStart = Fleet_.isViewFresh(At.now());
  if (MayStart)
    Dispatcher_.startQueued(At);
  Dispatcher_.startHedges(At, MayStart);
  if (At.now() >= LastTended_ + TickInterval)
    tend(At);
  reportTargets(At);
  updateReadiness(At);
  Stop_.advance(At, true);
}

void Engine::tend(const Step &At) {
  LastTended_ = At.now();
  Outcomes_.dropUnopened(At);
  Connections_.tend(At);
}

void Engine::reportTargets(const Step &At) {
  for (const routing::TargetChange &Change : Parts_.Targets_.takeChanges())
    At.Output_.push_back(
        ReportChange{kindOf(Change.Kind_),
                     Parts_.Environment_.targetName(Change.Target_).value()});
}

void Engine::updateReadiness(const Step &At) {
  const bool IsReady = Fleet_.mayAccept(At.now()) && !Stop_.isRequested();
  if (IsReady == IsReady_)
    return;
  IsReady_ = IsReady;
  At.Output_.push_back(SetReadiness{IsReady});
}

void Engine::dispatch(const Step &At, const CallArrived &Input) {
  Intake_.handle(At, Input);
}

void Engine::dispatch(const Step &At, const CallerGone &Input) {
  Intake_.handle(At, Input);
}

void Engine::dispatch(const Step &At, const ConnectionOpened &Input) {
  Outcomes_.handle(At, Input);
}

void Engine::dispatch(const Step &At, const ConnectionClosed &Input) {
  Outcomes_.handle(At, Input);
}

void Engine::dispatch(const Step &At, const AnswerBegan &Input) {
  Outcomes_.handle(At, Input);
}

void Engine::dispatch(const Step &At, const AttemptAnswered &Input) {
  Outcomes_.handle(At, Input);
}

void Engine::dispatch(const Step &At, const AttemptFailed &Input) {
  Outcomes_.handle(At, Input);
}

void Engine::dispatch(const Step &At, const KeptAnswerFetched &Input) {
  Keyed_.handle(At, Input);
}

void Engine::dispatch(const Step &At, const DocumentPublished &Input) {
  Fleet_.handle(At, Input);
}

void Engine::dispatch(const Step &At, const InstancesPublished &Input) {
  Fleet_.handle(At, Input);
}

void Engine::dispatch(const Step &At, const StopRequested &) {
  Stop_.request(At);
}

} // namespace cranberryspool::decision
