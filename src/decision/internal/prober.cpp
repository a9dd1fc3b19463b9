#include "decision/internal/prober.h"

#include <vector>

namespace cranberryspool::decision {

void Prober::probe(const Step &At) {
  if (Parts_.Fleet_.readsStore()) {
    probeStored(At);
    return;
  }
  std::vector<framework::TargetId> Unseen;
  Parts_.Targets_.nextProbeCandidates(Parts_.Environment_.targets().size(),
                                      At.now(), Unseen);
  for (const framework::TargetId Target : Unseen)
    if (Parts_.Fleet_.mayProbe(Parts_.Environment_.targetName(Target),
                               At.now()))
      send(At, Target);
}

void Prober::probeStored(const Step &At) {
  for (const routing::TargetDescription &Target : Parts_.Environment_.targets())
    if (Parts_.Fleet_.mayProbe(Parts_.Environment_.targetName(Target.Target_),
                               At.now()))
      send(At, Target.Target_);
}

void Prober::send(const Step &At, framework::TargetId Target) {
  Parts_.Fleet_.noteProbed(Parts_.Environment_.targetName(Target), At.now());
  const framework::ProbeId Id(++LastProbe_);
  Running_.emplace(Id, Target);
  ++Parts_.Counters_.ProbesSent_;
  At.Output_.push_back(
      ProbeTarget{.Probe_ = Id,
                  .Target_ = Target,
                  .Address_ = Parts_.Environment_.address(Target),
                  .Path_ = Parts_.Environment_.healthPath(Target),
                  .TargetName_ = Parts_.Environment_.targetName(Target)});
}

void Prober::handle(const Step &At, const ProbeAnswered &Input) {
  const auto Position = Running_.find(Input.Probe_);
  if (Position == Running_.end())
    return;
  Notes_.noteSeen(At, Position->second, Input.StartId_, Input.Report_);
  Running_.erase(Position);
}

void Prober::handle(const Step &At, const ProbeFailed &Input) {
  const auto Position = Running_.find(Input.Probe_);
  if (Position == Running_.end())
    return;
  ++Parts_.Counters_.ProbesFailed_;
  Parts_.Targets_.recordProbeFailure(Position->second, At.now());
  Running_.erase(Position);
}

} // namespace cranberryspool::decision
