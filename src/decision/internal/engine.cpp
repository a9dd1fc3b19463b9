#include "decision/internal/engine.h"

#include "decision/internal/statuscollector.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace cranberryspool::decision {

namespace {

constexpr framework::Duration TickInterval = std::chrono::milliseconds(100);
/// A new instance becomes ready after this time even if some service has no
/// target yet that accepts work from it.
constexpr framework::Duration MaxReadinessWait = std::chrono::seconds(20);

} // namespace

Engine::Engine(CoreSettings Settings, framework::Random Rng)
    : Core_(std::move(Settings), Rng), Connections_(Core_),
      Attempts_(Core_, Connections_), Finisher_(Core_, Attempts_),
      Access_(Core_, Attempts_, Finisher_), Quota_(Core_),
      Admission_(Core_, Finisher_), Observer_(Core_),
      Crashes_(Core_, Connections_, Finisher_),
      Forwarder_(Core_, Connections_, Attempts_, Finisher_),
      Transport_(Core_, Connections_, Attempts_, Finisher_, Admission_,
                 Observer_, Crashes_, Forwarder_),
      Prober_(Core_, Observer_), EnvironmentUpdater_(Core_, Transport_),
      KeyHandler_(Core_, Finisher_, Admission_), View_(Core_, Finisher_),
      CallReceiver_(Core_, Finisher_, Admission_, KeyHandler_, View_,
                    Forwarder_, Access_, Quota_),
      Stop_(Core_, CallReceiver_),
      FleetAdapter_(Core_, EnvironmentUpdater_, KeyHandler_, Stop_, Crashes_,
                    Access_, Quota_),
      Dispatcher_(Core_, Attempts_) {}

void Engine::handle(const EventContext &Context, const Event &Input) {
  if (!LastEventAt_)
    start(Context);
  else if (Context.now() - *LastEventAt_ > Core_.Settings_.PauseThreshold_)
    View_.handlePause(Context);
  LastEventAt_ = Context.now();
  expireOverdue(Context);
  std::visit([&](const auto &Event) { dispatch(Context, Event); }, Input);
  runDueWork(Context);
}

framework::Instant Engine::nextWakeUp() const {
  framework::Instant Next = LastEventAt_.value_or(framework::Instant{});
  Next += TickInterval;
  const auto ConsiderDeadline = [&](std::optional<framework::Instant> Due) {
    Next = std::min(Next, Due.value_or(Next));
  };
  ConsiderDeadline(Core_.DeadlineTimers_.next());
  ConsiderDeadline(Core_.HedgeTimers_.next());
  ConsiderDeadline(Core_.AbandonTimers_.next());
  ConsiderDeadline(Core_.SilenceDetector_.nextWakeUp());
  ConsiderDeadline(Core_.Targets_.nextWakeUp());
  ConsiderDeadline(Core_.Queue_.nextWakeUp());
  ConsiderDeadline(Core_.Fleet_.nextWakeUp());
  ConsiderDeadline(FleetAdapter_.nextWakeUp());
  ConsiderDeadline(Crashes_.nextWakeUp());
  ConsiderDeadline(Quota_.nextWakeUp());
  return Next;
}

CoreStatus Engine::status() const {
  CoreStatus Status = StatusCollector(Core_).collect(
      LastEventAt_.value_or(framework::Instant{}));
  Status.IsReady_ = IsReady_;
  Status.IsStopping_ = Stop_.isRequested();
  return Status;
}

ViewStatus Engine::view() const {
  const framework::Instant Now = LastEventAt_.value_or(framework::Instant{});
  const calls::DocumentOrigin Origin =
      Core_.DocumentOrigin_ ? *Core_.DocumentOrigin_ : calls::DocumentOrigin();
  return ViewStatus{.Document_ = Core_.Fleet_.documentRevision(),
                    .DocumentSource_ = Origin.Source_,
                    .DocumentRecord_ = Origin.RecordRevision_,
                    .Revision_ = Core_.Fleet_.listRevision(),
                    .Age_ = Core_.Fleet_.viewAge(Now),
                    .Store_ = Core_.Fleet_.lastStoreStatement(Now)};
}

void Engine::start(const EventContext &Context) {
  StartedAt_ = Context.now();
  Context.Output_.push_back(SetReadiness{false});
  Core_.Fleet_.start(Context.Now_, Core_.FleetOutput_);
}

void Engine::expireOverdue(const EventContext &Context) {
  CallReceiver_.failOverdue(Context);
  Access_.expireUnconfirmed(Context);
  Attempts_.expireAbandoned(Context);
  Transport_.failSilentConnections(Context);
}

void Engine::runDueWork(const EventContext &Context) {
  if (Context.now() >= Core_.Fleet_.nextWakeUp()) {
    EnvironmentUpdater_.publishDemand();
    Core_.Fleet_.tick(Context.Now_, Core_.FleetOutput_);
  }
  FleetAdapter_.processOutputs(Context);
  Quota_.tick(Context);
  CallReceiver_.admitDecided(Context);
  Core_.Targets_.advance(Context.now());
  View_.update(Context);
  Crashes_.runDue(Context);
  if (View_.isFresh(Context.now()) && !Stop_.isFinished())
    Forwarder_.runDue(Context);
  if (Context.now() >= LastMaintenanceAt_ + TickInterval)
    runMaintenance(Context);
  Admission_.failExpired(Context);
  const bool MayStart = View_.isFresh(Context.now());
  if (MayStart)
    Dispatcher_.startQueued(Context);
  Dispatcher_.startHedges(Context, MayStart);
  Observer_.reportChanges(Context);
  updateReadiness(Context);
  Stop_.advance(Context);
  // Calls that ended in the meantime may have produced outputs for their
  // idempotency keys.
  FleetAdapter_.processOutputs(Context);
  Quota_.sendMessages(Context);
}

void Engine::runMaintenance(const EventContext &Context) {
  LastMaintenanceAt_ = Context.now();
  Transport_.failSlowConnects(Context);
  if (!View_.isFresh(Context.now()) || Stop_.isFinished())
    return;
  Connections_.maintain(Context);
  Prober_.probe(Context);
}

void Engine::updateReadiness(const EventContext &Context) {
  const bool MayAccept = View_.mayAccept(Context.now()) && !Stop_.isRequested();
  // A new instance becomes ready only when it can send calls to targets.
  const bool IsReady = MayAccept && (IsReady_ || hasUsableServices(Context));
  if (IsReady == IsReady_)
    return;
  IsReady_ = IsReady;
  Context.Output_.push_back(SetReadiness{IsReady});
}

bool Engine::hasUsableServices(const EventContext &Context) const {
  if (Core_.Fleet_.readsStore())
    return true;
  const std::size_t Usable =
      EnvironmentUpdater_.countUsableServices(Context.now());
  if (Usable == 0)
    return false;
  return Usable == EnvironmentUpdater_.countServedServices() ||
         Context.now() >= StartedAt_ + MaxReadinessWait;
}

void Engine::dispatch(const EventContext &Context, const StopRequested &) {
  Stop_.request(Context);
}

void Engine::dispatch(const EventContext &Context, const CallArrived &Input) {
  CallReceiver_.handle(Context, Input);
}

void Engine::dispatch(const EventContext &Context, const CallerGone &Input) {
  CallReceiver_.handle(Context, Input);
}

void Engine::dispatch(const EventContext &Context,
                      const KeptAnswerFetched &Input) {
  KeyHandler_.handle(Context, Input);
}

void Engine::dispatch(const EventContext &Context, const ProbeAnswered &Input) {
  Forwarder_.recordHeard(Context);
  Prober_.handle(Context, Input);
}

void Engine::dispatch(const EventContext &Context, const ProbeFailed &Input) {
  Prober_.handle(Context, Input);
}

} // namespace cranberryspool::decision
