#include "decision/internal/statusview.h"

namespace cranberryspool::decision {

CoreStatus StatusView::collect(framework::Instant Now) const {
  CoreStatus Status;
  Status.DocumentRevision_ = Parts_.Fleet_.documentRevision();
  Status.DocumentDigest_ = Parts_.Environment_.digest();
  Status.ListRevision_ = Parts_.Fleet_.listRevision();
  Status.ViewAge_ = Parts_.Fleet_.viewAge(Now);
  Status.FleetSize_ = Parts_.Fleet_.fleetSize();
  Status.IsViewFresh_ = Parts_.Fleet_.isViewFresh(Now);
  Status.Calls_ = Parts_.Calls_.calls().size();
  Status.Attempts_ = Parts_.Calls_.attempts().size();
  Status.Targets_ = targets();
  Status.Queues_ = queues();
  Status.Peers_ = peers();
  return Status;
}

std::vector<TargetStatus> StatusView::targets() const {
  std::vector<TargetStatus> Found;
  for (const routing::TargetDescription &Target :
       Parts_.Environment_.targets()) {
    const framework::TargetId Id = Target.Target_;
    TargetCondition Condition = TargetCondition::In;
    if (Target.IsLeaving_)
      Condition = TargetCondition::Leaving;
    else if (Parts_.Ejected_.contains(Id))
      Condition = TargetCondition::Ejected;
    else if (Parts_.Targets_.isCold(Id))
      Condition = TargetCondition::Cold;
    Found.push_back(TargetStatus{
        .Target_ = Parts_.Environment_.targetName(Id),
        .Service_ = Parts_.Environment_.serviceName(Target.Service_),
        .Zone_ = Parts_.Environment_.zoneName(Target.Zone_),
        .Condition_ = Condition,
        .InFlight_ = Parts_.Targets_.inFlight(Id),
        .Connections_ = Parts_.Connections_.count(Id)});
  }
  return Found;
}

std::vector<QueueStatus> StatusView::queues() const {
  std::vector<QueueStatus> Found;
  if (!Parts_.Environment_.hasDocument())
    return Found;
  for (const document::Service &Service :
       Parts_.Environment_.document()->Services_) {
    const auto Id = Parts_.Environment_.findService(Service.Name_);
    Found.push_back(QueueStatus{
        .Service_ = Service.Name_,
        .Urgent_ = Parts_.Queue_.queueLength(*Id, document::Urgency::Urgent),
        .Ordinary_ =
            Parts_.Queue_.queueLength(*Id, document::Urgency::Ordinary)});
  }
  return Found;
}

std::vector<PeerStatus> StatusView::peers() const {
  std::vector<PeerStatus> Found;
  for (const document::PublishedInstance &Peer :
       Parts_.Fleet_.publishedPeers()) {
    if (Peer.Name_ == Parts_.Settings_.Self_)
      continue;
    Found.push_back(
        PeerStatus{.Peer_ = Peer.Name_,
                   .Zone_ = Peer.Zone_,
                   .IsLeaving_ = Peer.IsLeaving_,
                   .IsHeard_ = Parts_.HeardPeers_.contains(Peer.Name_)});
  }
  return Found;
}

} // namespace cranberryspool::decision
