#include "decision/internal/targetnotes.h"

namespace cranberryspool::decision {

namespace {

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

void TargetNotes::noteSeen(const Step &At, framework::TargetId Target,
                           std::optional<framework::Incarnation> Start,
                           const std::optional<routing::LoadReport> &Report) {
  if (Start && Parts_.Targets_.recordStartId(Target, *Start, At.now()))
    Parts_.Fleet_.noteTurnedCold(Parts_.Environment_.targetName(Target), *Start,
                                 At.Now_, Parts_.FleetOutput_);
  if (!Report)
    return;
  Parts_.Targets_.recordReport(Target, *Report, At.now());
  Parts_.Fleet_.noteLoad(Parts_.Environment_.targetName(Target), *Report,
                         At.now());
}

void TargetNotes::report(const Step &At) {
  for (const routing::TargetChange &Change : Parts_.Targets_.takeChanges()) {
    const framework::TargetName Name =
        Parts_.Environment_.targetName(Change.Target_);
    if (Change.Kind_ == routing::TargetChangeKind::TurnedWarm)
      Parts_.Fleet_.setWarm(Name, true);
    if (Change.Kind_ == routing::TargetChangeKind::TurnedCold)
      Parts_.Fleet_.setWarm(Name, false);
    if (Change.Kind_ == routing::TargetChangeKind::Ejected)
      Parts_.Ejected_.insert(Change.Target_);
    if (Change.Kind_ == routing::TargetChangeKind::Restored)
      Parts_.Ejected_.erase(Change.Target_);
    At.Output_.push_back(ReportChange{kindOf(Change.Kind_), Name.value()});
  }
}

} // namespace cranberryspool::decision
