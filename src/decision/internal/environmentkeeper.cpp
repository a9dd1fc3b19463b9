#include "decision/internal/environmentkeeper.h"

#include "decision/internal/ringplaces.h"

#include <map>
#include <set>
#include <utility>

namespace cranberryspool::decision {

namespace {

/// Connections to a target that an instance may always have: one may be closing
/// while the next is needed.
constexpr std::uint32_t LeastConnections = 2;
/// The part of the bound on extra attempts that is used: instances see the
/// borders of a window at different times.
constexpr double RetryBoundUsed = 0.8;
/// Extra attempts in a window of an instance that knows no other.
constexpr double LonelySlack = 1;
/// The part of what a cold target bears above its stated rate that is used.
constexpr double ColdOverageUsed = 0.4;

} // namespace

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

void EnvironmentKeeper::setStoredTargets(
    const Step &At, std::vector<fleet::PublishedTarget> Targets) {
  Parts_.Environment_.setStoredTargets(std::move(Targets));
  apply(At);
}

void EnvironmentKeeper::applyShares(const Step &At) {
  applyExtraWindow();
  for (const routing::TargetDescription &Target :
       Parts_.Environment_.targets()) {
    const routing::TargetBounds Bounds = boundsOf(At, Target);
    Parts_.Targets_.setBounds(Target.Target_, Bounds);
    Parts_.Connections_.setLimit(Target.Target_, Bounds.MaxConnections_);
  }
}

routing::TargetBounds
EnvironmentKeeper::boundsOf(const Step &At,
                            const routing::TargetDescription &Target) {
  const document::Service &Service =
      *Parts_.Environment_.service(Target.Service_);
  const framework::TargetName Name =
      Parts_.Environment_.targetName(Target.Target_);
  routing::TargetBounds Bounds{
      .ColdInFlight_ = Parts_.Fleet_.coldShare(Name, At.now()),
      .MaxConnections_ = Parts_.Fleet_.connectionShare(Name),
      .ColdWarmup_ = Service.ColdStart_.Warmup_,
      .RingDistance_ = RingDistances_[Target.Target_]};
  const fleet::FleetBounds *Fleet = Parts_.Fleet_.bounds();
  if (!Fleet)
    return Bounds;
  const auto Members = static_cast<std::uint32_t>(Parts_.Fleet_.fleetSize());
  Bounds.MaxConnections_ =
      std::max(Service.ConnectionsPerTarget_ / Members, LeastConnections);
  // Below the bound: each sender may have one request more in any second.
  const double Rate = Service.ColdStart_.MaxRequestsPerSecond_;
  Bounds.ColdPerSecond_ = Parts_.Fleet_.coldRate(
      Name, Rate * (1 + (Fleet->ColdOverage_ - 1) * ColdOverageUsed), At.now());
  return Bounds;
}

void EnvironmentKeeper::applyExtraWindow() {
  const fleet::FleetBounds *Fleet = Parts_.Fleet_.bounds();
  if (!Fleet || !Parts_.Calling_.Window_)
    return;
  const auto Members = static_cast<double>(Parts_.Fleet_.fleetSize());
  // One that knows nobody may be one of many that have just started.
  const double Slack = Members > 1 ? Fleet->RetrySlack_ / Members
                                   : std::min(Fleet->RetrySlack_, LonelySlack);
  Parts_.Calling_.Window_->Ratio_ = Fleet->RetryRatio_ * RetryBoundUsed;
  Parts_.Calling_.Window_->Slack_ = Slack * RetryBoundUsed;
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

std::uint32_t EnvironmentKeeper::instanceCount() const {
  if (Parts_.Fleet_.readsStore())
    return static_cast<std::uint32_t>(Parts_.Fleet_.fleetSize());
  return Parts_.Environment_.instanceCount();
}

void EnvironmentKeeper::applyCapacities() {
  std::map<framework::ServiceId, std::uint32_t> Slots;
  for (const routing::TargetDescription &Target : Parts_.Environment_.targets())
    if (!Target.IsLeaving_)
      Slots[Target.Service_] += Target.Slots_;
  for (const auto &[Service, Sum] : Slots)
    Parts_.Queue_.setCapacity(Service,
                              {.Slots_ = Sum, .Instances_ = instanceCount()});
}

} // namespace cranberryspool::decision
