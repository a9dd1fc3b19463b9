#include "decision/internal/statuscollector.h"

namespace cranberryspool::decision {

CoreStatus StatusCollector::collect(framework::Instant Now) const {
  CoreStatus Status;
  Status.DocumentRevision_ = Core_.Fleet_.documentRevision();
  Status.DocumentDigest_ = Core_.Environment_.digest();
  Status.ListRevision_ = Core_.Fleet_.listRevision();
  Status.ViewAge_ = Core_.Fleet_.viewAge(Now);
  Status.FleetSize_ = Core_.Fleet_.fleetSize();
  Status.IsViewFresh_ = Core_.Fleet_.isViewFresh(Now);
  Status.Calls_ = Core_.Calls_.calls().size();
  Status.Attempts_ = Core_.Calls_.attempts().size();
  Status.Targets_ = targets();
  Status.LimitedTargets_ = Core_.Targets_.limitedTargetCount();
  Status.Queues_ = queues();
  Status.Peers_ = peers();
  return Status;
}

std::vector<TargetStatus> StatusCollector::targets() const {
  std::vector<TargetStatus> Result;
  for (const routing::TargetDescription &Target :
       Core_.Environment_.targets()) {
    const framework::TargetId Id = Target.Target_;
    TargetCondition Condition = TargetCondition::InService;
    if (Target.IsLeaving_)
      Condition = TargetCondition::Leaving;
    else if (Core_.EjectedTargets_.contains(Id))
      Condition = TargetCondition::Ejected;
    else if (Core_.Targets_.isCold(Id))
      Condition = TargetCondition::Cold;
    Result.push_back(TargetStatus{
        .Target_ = Core_.Environment_.targetName(Id),
        .Service_ = Core_.Environment_.serviceName(Target.Service_),
        .Zone_ = Core_.Environment_.zoneName(Target.Zone_),
        .Condition_ = Condition,
        .InFlight_ = Core_.Targets_.inFlight(Id),
        .Connections_ = Core_.Connections_.count(Id)});
  }
  return Result;
}

std::vector<QueueStatus> StatusCollector::queues() const {
  std::vector<QueueStatus> Result;
  if (!Core_.Environment_.hasDocument())
    return Result;
  for (const document::Service &Service :
       Core_.Environment_.document()->Services_) {
    const auto Id = Core_.Environment_.findService(Service.Name_);
    Result.push_back(QueueStatus{
        .Service_ = Service.Name_,
        .Urgent_ = Core_.Queue_.queueLength(*Id, document::Urgency::Urgent),
        .Ordinary_ =
            Core_.Queue_.queueLength(*Id, document::Urgency::Ordinary)});
  }
  return Result;
}

std::vector<PeerStatus> StatusCollector::peers() const {
  std::vector<PeerStatus> Result;
  for (const document::PublishedInstance &Peer :
       Core_.Fleet_.publishedPeers()) {
    if (Peer.Name_ == Core_.Settings_.Self_)
      continue;
    Result.push_back(
        PeerStatus{.Peer_ = Peer.Name_,
                   .Zone_ = Peer.Zone_,
                   .IsLeaving_ = Peer.IsLeaving_,
                   .IsReachable_ = Core_.ReachablePeers_.contains(Peer.Name_)});
  }
  return Result;
}

} // namespace cranberryspool::decision
