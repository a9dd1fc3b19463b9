#include "decision/internal/prober.h"

#include <vector>

namespace cranberryspool::decision {

void Prober::probe(const Step &At) {
  std::vector<framework::TargetId> Unseen;
  Parts_.Targets_.nextProbeCandidates(Parts_.Environment_.targets().size(),
                                      At.now(), Unseen);
  for (const framework::TargetId Target : Unseen) {
    const framework::TargetName Name = Parts_.Environment_.targetName(Target);
    if (!Parts_.Fleet_.mayProbe(Name, At.now()))
      continue;
    Parts_.Fleet_.noteProbed(Name, At.now());
    const framework::ProbeId Id(++LastProbe_);
    Running_.emplace(Id, Target);
    ++Parts_.Counters_.ProbesSent_;
    At.Output_.push_back(
        ProbeTarget{Id, Target, Parts_.Environment_.address(Target)});
  }
}

void Prober::handle(const Step &At, const ProbeAnswered &Input) {
  const auto Position = Running_.find(Input.Probe_);
  if (Position == Running_.end())
    return;
  Notes_.noteSeen(At, Position->second, Input.StartId_, Input.Report_);
  Running_.erase(Position);
}

void Prober::handle(const Step &, const ProbeFailed &Input) {
  if (Running_.erase(Input.Probe_) > 0)
    ++Parts_.Counters_.ProbesFailed_;
}

} // namespace cranberryspool::decision
