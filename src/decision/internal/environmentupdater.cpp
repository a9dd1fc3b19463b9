#include "decision/internal/environmentupdater.h"

#include "capacity/computeallotment.h"
#include "decision/internal/ringpositions.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace cranberryspool::decision {

namespace {

/// The number of connections to a target that an instance may always have: one
/// may be closing while the next one is already needed.
constexpr std::uint32_t MinConnections = 2;
/// The share of the fleet-wide limit on extra attempts that is used. The rest
/// is a margin, because instances see the boundaries of a window at different
/// times.
constexpr double RetryBoundUtilization = 0.8;
/// The share of a cold target's tolerance above its stated rate that is used.
constexpr double ColdOverageUtilization = 0.4;
/// The number of targets of a service in its availability zone that an instance
/// prefers. Fewer would leave too few to choose from while targets are slow;
/// with more, connections to them would be idle for too long to be reused.
constexpr std::uint32_t PreferredTargets = 8;

} // namespace

void EnvironmentUpdater::setDocument(
    const EventContext &Context,
    const document::EnvironmentDocument &Document) {
  Core_.Environment_.setDocument(Document);
  applyToAll(Context);
}

void EnvironmentUpdater::setInstances(
    const EventContext &Context,
    std::vector<document::PublishedInstance> Instances) {
  Core_.Environment_.setInstances(std::move(Instances));
  applyToAll(Context);
}

void EnvironmentUpdater::applyToAll(const EventContext &Context) {
  // Routing assumes that all targets of its first list are already running and
  // warm, so that list must not be empty.
  if (!Core_.Environment_.hasDocument() || !Core_.Environment_.hasInstances())
    return;
  Core_.Targets_.setTargets(Core_.Environment_.targets(), Context.now());
  updatePlacements();
  applyShares(Context);
  Transport_.requeueUnsent(Context, updateUnconfirmed());
}

std::set<framework::TargetId> EnvironmentUpdater::updateUnconfirmed() {
  const std::set<framework::TargetId> Before = std::exchange(Unconfirmed_, {});
  std::set<framework::TargetId> Added;
  for (const routing::TargetDescription &Target :
       Core_.Environment_.targets()) {
    if (!Target.IsUnconfirmed_)
      continue;
    Unconfirmed_.insert(Target.Target_);
    if (!Before.contains(Target.Target_))
      Added.insert(Target.Target_);
  }
  return Added;
}

void EnvironmentUpdater::setStoredTargets(
    const EventContext &Context, std::vector<fleet::PublishedTarget> Targets) {
  Core_.Environment_.setStoredTargets(std::move(Targets));
  applyToAll(Context);
}

void EnvironmentUpdater::updatePlacements() {
  std::vector<Placement> Placements;
  Placements.reserve(Core_.Environment_.targets().size());
  for (const routing::TargetDescription &Target : Core_.Environment_.targets())
    Placements.push_back({Target.Target_, Target.Service_, Target.Zone_,
                          Target.Slots_, Target.IsLeaving_});
  if (Placements == Placements_)
    return;
  Placements_ = std::move(Placements);
  updateRingDistances();
  updateServiceSlots();
}

void EnvironmentUpdater::applyShares(const EventContext &Context) {
  updateExtraAttemptLimit(Context.now());
  updateQueueCapacities();
  GroupPosition_ = Core_.Fleet_.groupPosition(Context.now());
  for (const auto &[Service, Share] : std::exchange(SlotShares_, {}))
    Core_.Queue_.setShare(Service, std::nullopt);
  if (ownPosition() != RingPosition_)
    updateRingDistances();
  for (const routing::TargetDescription &Target :
       Core_.Environment_.targets()) {
    const routing::TargetLimits Bounds = computeBounds(Context, Target);
    Core_.Targets_.setLimits(Target.Target_, Bounds);
    Core_.Connections_.setLimit(Target.Target_, Bounds.MaxConnections_);
    if (!Core_.Targets_.requestLimit(Target.Target_).isUnlimited())
      Core_.Targets_.setSenderRank(
          Target.Target_,
          Core_.Fleet_.senderRank(Core_.Environment_.targetName(Target.Target_),
                                  Context.now()));
  }
  applySlotShares(Context);
}

routing::TargetLimits
EnvironmentUpdater::computeBounds(const EventContext &Context,
                                  const routing::TargetDescription &Target) {
  const document::Service &Service =
      *Core_.Environment_.service(Target.Service_);
  const framework::TargetName &Name =
      Core_.Environment_.targetName(Target.Target_);
  const RingPlace &Place = RingPlaces_[Target.Target_];
  routing::TargetLimits Bounds{
      .MaxColdInFlight_ = Core_.Fleet_.coldShare(Name, Context.now()),
      .MaxConnections_ = Core_.Fleet_.connectionShare(Name),
      .WarmupDuration_ = Service.ColdStart_.Warmup_,
      .RingDistance_ = Place.Distance_,
      .IsPreferred_ = Place.IsPreferred_};
  const fleet::FleetBounds *Limits = Core_.Fleet_.bounds();
  if (!Limits)
    return Bounds;
  const auto FleetSize = static_cast<std::uint32_t>(Core_.Fleet_.fleetSize());
  Bounds.MaxConnections_ =
      std::max(Service.ConnectionsPerTarget_ / FleetSize, MinConnections);
  // The rate stays below the limit, because each sender may exceed its share by
  // one request in any second.
  const double Rate = Service.ColdStart_.MaxRequestsPerSecond_;
  Bounds.ColdRequestsPerSecond_ = Core_.Fleet_.coldRate(
      Name, Rate * (1 + (Limits->ColdOverage_ - 1) * ColdOverageUtilization),
      Context.now());
  return Bounds;
}

void EnvironmentUpdater::updateExtraAttemptLimit(framework::Instant Now) {
  const fleet::FleetBounds *Limits = Core_.Fleet_.bounds();
  if (!Limits || !Core_.CallSettings_.WindowLimit_)
    return;
  Core_.CallSettings_.WindowLimit_->Ratio_ =
      Limits->RetryRatio_ * RetryBoundUtilization;
  Core_.CallSettings_.WindowLimit_->Slack_ =
      Core_.Fleet_.retrySlack(Now) * RetryBoundUtilization;
}

fleet::ZonePosition EnvironmentUpdater::ownPosition() const {
  if (const auto Position = Core_.Fleet_.zonePosition())
    return *Position;
  fleet::ZonePosition Own{.Rank_ = 0, .Instances_ = 0};
  for (const document::PublishedInstance &Instance :
       Core_.Environment_.instances()) {
    if (Instance.Group_ || Instance.IsLeaving_ ||
        Instance.Zone_ != Core_.Settings_.Zone_)
      continue;
    ++Own.Instances_;
    Own.Rank_ += Instance.Name_ < Core_.Settings_.Self_ ? 1U : 0U;
  }
  return Own;
}

void EnvironmentUpdater::updateRingDistances() {
  RingPosition_ = ownPosition();
  const RingPositions Positions(Core_.Environment_, RingPosition_);
  RingPlaces_.clear();
  for (const routing::TargetDescription &Target : Core_.Environment_.targets())
    RingPlaces_[Target.Target_] = RingPlace{
        Positions.distance(Target.Target_),
        Core_.Environment_.zoneName(Target.Zone_) == Core_.Settings_.Zone_ &&
            Positions.isAmongNearest(Target.Target_, PreferredTargets)};
}

std::size_t EnvironmentUpdater::countServedServices() const {
  std::set<framework::ServiceId> Services;
  for (const routing::TargetDescription &Target : Core_.Environment_.targets())
    if (!Target.IsLeaving_)
      Services.insert(Target.Service_);
  return Services.size();
}

std::size_t
EnvironmentUpdater::countUsableServices(framework::Instant Now) const {
  std::set<framework::ServiceId> Services;
  for (const routing::TargetDescription &Target :
       Core_.Environment_.targets()) {
    if (Target.IsLeaving_ || Services.contains(Target.Service_))
      continue;
    const bool IsUsable =
        !Core_.Targets_.isCold(Target.Target_) ||
        Core_.Fleet_.coldShare(Core_.Environment_.targetName(Target.Target_),
                               Now) > 0;
    if (IsUsable)
      Services.insert(Target.Service_);
  }
  return Services.size();
}

std::uint32_t EnvironmentUpdater::instanceCount() const {
  if (Core_.Fleet_.readsStore())
    return static_cast<std::uint32_t>(Core_.Fleet_.fleetSize());
  return Core_.Environment_.instanceCount();
}

void EnvironmentUpdater::updateQueueCapacities() {
  std::map<framework::ServiceId, std::uint32_t> Slots;
  for (const routing::TargetDescription &Target : Core_.Environment_.targets())
    if (!Target.IsLeaving_)
      Slots[Target.Service_] += Target.Slots_;
  for (const auto &[Service, Total] : Slots)
    Core_.Queue_.setCapacity(Service,
                             {.Slots_ = Total, .Instances_ = instanceCount()});
}

void EnvironmentUpdater::updateServiceSlots() {
  ServiceSlots_.clear();
  std::map<std::pair<framework::ZoneName, framework::TargetName>,
           const routing::TargetDescription *>
      Ordered;
  for (const routing::TargetDescription &Target : Core_.Environment_.targets())
    if (!Target.IsLeaving_)
      Ordered[{Core_.Environment_.zoneName(Target.Zone_),
               Core_.Environment_.targetName(Target.Target_)}] = &Target;
  for (const auto &[Name, Target] : Ordered) {
    ServiceSlots &Slots = ServiceSlots_[Target->Service_];
    Slots.Targets_.push_back(Target->Target_);
    Slots.Slots_.push_back(Target->Slots_);
  }
}

void EnvironmentUpdater::publishDemand() {
  if (!Core_.Settings_.IsSlotSharingEnabled_)
    return;
  std::vector<capacity::ServiceDemand> Services;
  for (const auto &[Service, Slots] : ServiceSlots_)
    if (const std::size_t Calls = Core_.Queue_.demand(Service))
      Services.push_back({Core_.Environment_.serviceName(Service),
                          static_cast<std::uint32_t>(Calls)});
  Core_.Fleet_.setDemand(std::move(Services));
}

std::optional<capacity::SlotAllotment>
EnvironmentUpdater::computeShare(framework::ServiceId Service,
                                 const ServiceSlots &Slots,
                                 framework::Instant Now) const {
  if (!GroupPosition_)
    return std::nullopt;
  capacity::PeerGroupDemand Group;
  Group.FleetSize_ = GroupPosition_->FleetSize_;
  Group.FirstRank_ = GroupPosition_->FirstRank_;
  const framework::ServiceName &Name = Core_.Environment_.serviceName(Service);
  for (const framework::InstanceName &Member : GroupPosition_->Members_) {
    if (Member == Core_.Settings_.Self_)
      Group.Own_ = Group.Calls_.size();
    Group.Calls_.push_back(Core_.Demand_.demand(Member, Name, Now));
  }
  return capacity::computeAllotment(Slots.Slots_, Group);
}

void EnvironmentUpdater::applySlotShares(const EventContext &Context) {
  Core_.Demand_.expire(Context.now());
  for (const auto &[Service, Slots] : ServiceSlots_) {
    const auto Share = computeShare(Service, Slots, Context.now());
    const auto Previous = SlotShares_.find(Service);
    const bool HasPrevious = Previous != SlotShares_.end();
    if (HasPrevious == Share.has_value() &&
        (!Share || Previous->second == *Share))
      continue;
    Core_.Queue_.setShare(Service,
                          Share ? std::optional(Share->Total_) : std::nullopt);
    for (std::size_t Index = 0; Index < Slots.Targets_.size(); ++Index)
      Core_.Targets_.setSlotShare(Slots.Targets_[Index],
                                  Share ? Share->SlotsByTarget_[Index] : 0,
                                  Context.now());
    if (Share)
      SlotShares_[Service] = *Share;
    else
      SlotShares_.erase(Service);
    ++Core_.Counters_.SlotShareChanges_;
  }
  Core_.Counters_.SlotsInShares_ = 0;
  for (const auto &[Service, Share] : SlotShares_)
    Core_.Counters_.SlotsInShares_ += Share.Total_;
}

} // namespace cranberryspool::decision
