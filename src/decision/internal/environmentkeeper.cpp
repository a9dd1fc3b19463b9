#include "decision/internal/environmentkeeper.h"

#include "decision/internal/ringplaces.h"

#include <map>
#include <set>
#include <utility>

namespace cranberryspool::decision {

void EnvironmentKeeper::setDocument(
    const Step &At, const document::EnvironmentDocument &Document) {
  Parts_.Environment_.setDocument(Document);
  apply(At);
}

void EnvironmentKeeper::setInstances(
    const Step &At, std::vector<document::PublishedInstance> Instances) {
  Parts_.Environment_.setInstances(std::move(Instances));
  apply(At);
}

void EnvironmentKeeper::apply(const Step &At) {
  // Routing takes the targets of its first picture for running ones, so that
  // picture must not be an empty one.
  if (!Parts_.Environment_.hasDocument() || !Parts_.Environment_.hasInstances())
    return;
  Parts_.Targets_.setTargets(Parts_.Environment_.targets(), At.now());
  placeOnRing();
  applyShares(At);
  applyCapacities();
  Results_.takeBackUnsent(At);
}

void EnvironmentKeeper::applyShares(const Step &At) {
  for (const routing::TargetDescription &Target :
       Parts_.Environment_.targets()) {
    const document::Service &Service =
        *Parts_.Environment_.service(Target.Service_);
    const framework::TargetName Name =
        Parts_.Environment_.targetName(Target.Target_);
    const std::uint32_t Connections = Parts_.Fleet_.connectionShare(Name);
    Parts_.Targets_.setBounds(
        Target.Target_,
        routing::TargetBounds{.ColdInFlight_ =
                                  Parts_.Fleet_.coldShare(Name, At.now()),
                              .MaxConnections_ = Connections,
                              .ColdWarmup_ = Service.ColdStart_.Warmup_,
                              .RingDistance_ = RingDistances_[Target.Target_]});
    Parts_.Connections_.setLimit(Target.Target_, Connections);
  }
}

void EnvironmentKeeper::placeOnRing() {
  const RingPlaces Places(Parts_.Environment_, Parts_.Settings_.Self_,
                          Parts_.Settings_.Zone_);
  RingDistances_.clear();
  for (const routing::TargetDescription &Target : Parts_.Environment_.targets())
    RingDistances_[Target.Target_] = Places.distance(Target.Target_);
}

std::size_t EnvironmentKeeper::servedServices() const {
  std::set<framework::ServiceId> Services;
  for (const routing::TargetDescription &Target : Parts_.Environment_.targets())
    if (!Target.IsLeaving_)
      Services.insert(Target.Service_);
  return Services.size();
}

std::size_t EnvironmentKeeper::usableServices(framework::Instant Now) const {
  std::set<framework::ServiceId> Services;
  for (const routing::TargetDescription &Target :
       Parts_.Environment_.targets()) {
    if (Target.IsLeaving_ || Services.contains(Target.Service_))
      continue;
    const bool IsUsable =
        !Parts_.Targets_.isCold(Target.Target_) ||
        Parts_.Fleet_.coldShare(Parts_.Environment_.targetName(Target.Target_),
                                Now) > 0;
    if (IsUsable)
      Services.insert(Target.Service_);
  }
  return Services.size();
}

void EnvironmentKeeper::applyCapacities() {
  std::map<framework::ServiceId, std::uint32_t> Slots;
  for (const routing::TargetDescription &Target : Parts_.Environment_.targets())
    if (!Target.IsLeaving_)
      Slots[Target.Service_] += Target.Slots_;
  for (const auto &[Service, Sum] : Slots)
    Parts_.Queue_.setCapacity(
        Service,
        {.Slots_ = Sum, .Instances_ = Parts_.Environment_.instanceCount()});
}

} // namespace cranberryspool::decision
