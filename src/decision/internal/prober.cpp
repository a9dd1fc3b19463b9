#include "decision/internal/prober.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace cranberryspool::decision {

namespace {

/// The load of a target changes in the time that its requests take, so targets
/// of slow services are probed less often: the interval is this share of the
/// mean response time, up to a limit.
constexpr double ProbeIntervalShare = 0.25;
constexpr framework::Duration MaxProbeInterval = std::chrono::milliseconds(400);

} // namespace

void Prober::probe(const EventContext &Context) {
  if (Core_.Fleet_.readsStore()) {
    probeStoreTargets(Context);
    return;
  }
  std::vector<framework::TargetId> Candidates;
  Core_.Targets_.nextProbeCandidates(Core_.Environment_.targets().size(),
                                     Context.now(), Candidates);
  for (const framework::TargetId Target : Candidates)
    if (Core_.Fleet_.mayProbe(Core_.Environment_.targetName(Target), {},
                              Context.now()))
      send(Context, Target);
}

void Prober::probeStoreTargets(const EventContext &Context) {
  for (const routing::TargetDescription &Target : Core_.Environment_.targets())
    if (Core_.Fleet_.mayProbe(Core_.Environment_.targetName(Target.Target_),
                              probeInterval(Target.Service_), Context.now()))
      send(Context, Target.Target_);
}

framework::Duration Prober::probeInterval(framework::ServiceId Service) const {
  const framework::Duration Latency = Core_.Targets_.serviceLatency(Service);
  return std::min(std::chrono::duration_cast<framework::Duration>(
                      Latency * ProbeIntervalShare),
                  MaxProbeInterval);
}

void Prober::send(const EventContext &Context, framework::TargetId Target) {
  Core_.Fleet_.recordProbe(Core_.Environment_.targetName(Target),
                           Context.now());
  const framework::ProbeId Id(++LastProbeId_);
  Pending_.emplace(Id, Target);
  ++Core_.Counters_.ProbesSent_;
  Context.Output_.push_back(
      ProbeTarget{.Probe_ = Id,
                  .Target_ = Target,
                  .Address_ = Core_.Environment_.address(Target),
                  .Path_ = Core_.Environment_.healthPath(Target),
                  .TargetName_ = Core_.Environment_.targetName(Target)});
}

void Prober::handle(const EventContext &Context, const ProbeAnswered &Input) {
  const auto Position = Pending_.find(Input.Probe_);
  if (Position == Pending_.end())
    return;
  routing::LoadReport Report = Input.Report_;
  if (Report.RequestLimit_)
    NamesLimitToProbes_.insert(Position->second);
  else if (NamesLimitToProbes_.contains(Position->second))
    Report.RequestLimit_ = routing::RequestRate::unlimited();
  Observer_.recordObservation(Context, Position->second, Input.StartId_,
                              Report);
  Pending_.erase(Position);
}

void Prober::handle(const EventContext &Context, const ProbeFailed &Input) {
  const auto Position = Pending_.find(Input.Probe_);
  if (Position == Pending_.end())
    return;
  ++Core_.Counters_.ProbesFailed_;
  Core_.Targets_.recordProbeFailure(Position->second, Context.now());
  Pending_.erase(Position);
}

} // namespace cranberryspool::decision
