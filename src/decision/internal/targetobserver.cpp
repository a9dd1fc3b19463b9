#include "decision/internal/targetobserver.h"

namespace cranberryspool::decision {

namespace {

ChangeKind changeKindOf(routing::TargetChangeKind Kind) {
  switch (Kind) {
  case routing::TargetChangeKind::Ejected:
    return ChangeKind::TargetEjected;
  case routing::TargetChangeKind::Restored:
    return ChangeKind::TargetRestored;
  case routing::TargetChangeKind::TurnedCold:
    return ChangeKind::TargetCold;
  case routing::TargetChangeKind::TurnedWarm:
    return ChangeKind::TargetWarm;
  case routing::TargetChangeKind::Limited:
    return ChangeKind::TargetLimited;
  case routing::TargetChangeKind::LimitLifted:
    return ChangeKind::TargetLimitLifted;
  case routing::TargetChangeKind::Draining:
    break;
  }
  return ChangeKind::TargetLeaving;
}

} // namespace

void TargetObserver::recordObservation(
    const EventContext &Context, framework::TargetId Target,
    std::optional<framework::Incarnation> Start,
    const std::optional<routing::LoadReport> &Report) {
  if (Start && Core_.Targets_.recordStartId(Target, *Start, Context.now()))
    Core_.Fleet_.handleTargetRestart(Core_.Environment_.targetName(Target),
                                     *Start, Context.Now_, Core_.FleetOutput_);
  if (!Report)
    return;
  Core_.Targets_.recordReport(Target, *Report, Context.now());
  Core_.Fleet_.recordLoad(Core_.Environment_.targetName(Target), *Report,
                          Context.now());
}

void TargetObserver::reportChanges(const EventContext &Context) {
  for (const routing::TargetChange &Change : Core_.Targets_.takeChanges()) {
    const framework::TargetName Name =
        Core_.Environment_.targetName(Change.Target_);
    if (Change.Kind_ == routing::TargetChangeKind::TurnedWarm)
      Core_.Fleet_.setWarm(Name, true);
    if (Change.Kind_ == routing::TargetChangeKind::TurnedCold)
      Core_.Fleet_.setWarm(Name, false);
    if (Change.Kind_ == routing::TargetChangeKind::Ejected)
      Core_.EjectedTargets_.insert(Change.Target_);
    if (Change.Kind_ == routing::TargetChangeKind::Restored)
      Core_.EjectedTargets_.erase(Change.Target_);
    ReportChange Report{changeKindOf(Change.Kind_), Name.value()};
    if (Change.Kind_ == routing::TargetChangeKind::Limited) {
      Core_.Targets_.setSenderRank(
          Change.Target_, Core_.Fleet_.senderRank(Name, Context.now()));
      Report.RequestLimit_ = Core_.Targets_.requestLimit(Change.Target_);
    }
    Context.Output_.push_back(std::move(Report));
  }
}

} // namespace cranberryspool::decision
