#include "decision/internal/environment.h"

#include "document/sections.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::decision {

void Environment::setDocument(const document::EnvironmentDocument &Document) {
  Document_ = Document;
  Digest_ = document::documentDigest(Document);
  Kinds_ = document::KindIndex(*Document_);
  Routes_ = document::RouteIndex(*Document_);
  WorkspacesByName_.clear();
  for (const document::Workspace &Each : Document_->Workspaces_)
    WorkspacesByName_[Each.Name_] = &Each;
  RouteKindIds_.clear();
  for (const document::Route &Each : Document_->Routes_)
    RouteKindIds_.push_back(
        KindNames_.intern({framework::ServiceName(), Each.Name_}));
  KindIdsByService_.clear();
  ServicesById_.clear();
  for (const document::Service &Service : Document_->Services_) {
    ServicesById_[Services_.intern(Service.Name_)] = &Service;
    std::vector<calls::KindId> &Ids = KindIdsByService_.emplace_back();
    for (const document::RequestKind &Kind : Service.Kinds_)
      Ids.push_back(KindNames_.intern({Service.Name_, Kind.Name_}));
  }
  rebuildTargets();
}

void Environment::setInstances(
    std::vector<document::PublishedInstance> Instances) {
  Instances_ = std::move(Instances);
  HasInstances_ = true;
  rebuildTargets();
}

void Environment::setStoredTargets(
    std::vector<fleet::PublishedTarget> Targets) {
  StoredTargets_ = std::move(Targets);
  HasInstances_ = true;
  rebuildTargets();
}

std::uint32_t Environment::instanceCount() const {
  const auto Count = std::count_if(
      Instances_.begin(), Instances_.end(),
      [](const auto &Instance) { return !Instance.Group_.has_value(); });
  return std::max(static_cast<std::uint32_t>(Count), 1U);
}

std::optional<MatchedKind> Environment::match(std::string_view Method,
                                              std::string_view Host,
                                              std::string_view Path,
                                              double RandomFraction) const {
  if (!Document_)
    return std::nullopt;
  if (!Document_->Routes_.empty())
    return matchRoute(Host, Path, RandomFraction);
  const auto Match = Kinds_.match(Method, Path);
  if (!Match)
    return std::nullopt;
  const document::Service &Service =
      Document_->Services_[Match->Service_.value()];
  const document::RequestKind &Policy = Service.Kinds_[Match->Kind_.value()];
  return MatchedKind{
      .Service_ = *Services_.find(Service.Name_),
      .Kind_ = KindIdsByService_[Match->Service_.value()][Match->Kind_.value()],
      .IsIdempotent_ = Policy.IsIdempotent_,
      .IsHedgingAllowed_ = Policy.IsHedgingAllowed_,
      .IsAnonymousAllowed_ = Policy.IsAnonymousAllowed_,
      .Urgency_ = Policy.Urgency_,
      .Deadline_ = Policy.Deadline_};
}

std::optional<MatchedKind>
Environment::matchRoute(std::string_view Host, std::string_view Path,
                        double RandomFraction) const {
  const auto Match = Routes_.match(Host, Path);
  if (!Match)
    return std::nullopt;
  const document::Route &Policy = Document_->Routes_[*Match];
  std::uint64_t TotalWeight = 0;
  for (const document::WeightedService &Part : Policy.WeightedServices_)
    TotalWeight += Part.Weight_;
  double Remaining = RandomFraction * static_cast<double>(TotalWeight);
  const document::WeightedService *Chosen = &Policy.WeightedServices_.front();
  for (const document::WeightedService &Part : Policy.WeightedServices_) {
    if (Part.Weight_ == 0)
      continue;
    Chosen = &Part;
    Remaining -= Part.Weight_;
    if (Remaining < 0)
      break;
  }
  return MatchedKind{.Service_ = *Services_.find(Chosen->Service_),
                     .Kind_ = RouteKindIds_[*Match],
                     .IsIdempotent_ = Policy.IsIdempotent_,
                     .IsHedgingAllowed_ = Policy.IsIdempotent_,
                     .IsAnonymousAllowed_ = Policy.IsAnonymousAllowed_,
                     .Urgency_ = Policy.Priority_ == 0
                                     ? document::Urgency::Urgent
                                     : document::Urgency::Ordinary,
                     .Priority_ = Policy.Priority_,
                     .Deadline_ = Policy.Timeout_,
                     .LongestWait_ = Policy.Timeout_,
                     .LatencyObjective_ = Policy.LatencyObjective_,
                     .MaxAttempts_ = Policy.MaxAttempts_};
}

bool Environment::acceptsWork(framework::TargetId Target) const {
  const auto Position = find(Target);
  return Position != Targets_.end() && !Position->IsLeaving_;
}

std::vector<routing::TargetDescription>::const_iterator
Environment::find(framework::TargetId Target) const {
  const auto Position = std::lower_bound(
      Targets_.begin(), Targets_.end(), Target,
      [](const routing::TargetDescription &Left, framework::TargetId Right) {
        return Left.Target_ < Right;
      });
  const bool IsFound =
      Position != Targets_.end() && Position->Target_ == Target;
  return IsFound ? Position : Targets_.end();
}

const document::Service *
Environment::service(framework::ServiceId Service) const {
  const auto Position = ServicesById_.find(Service);
  return Position == ServicesById_.end() ? nullptr : Position->second;
}

const std::string &Environment::address(framework::TargetId Target) const {
  return Addresses_.at(Target.value());
}

std::string Environment::healthPath(framework::TargetId Target) const {
  const auto Position = find(Target);
  if (Position == Targets_.end())
    return {};
  return ServicesById_.at(Position->Service_)->HealthPath_;
}

const framework::TargetName &
Environment::targetName(framework::TargetId Target) const {
  return TargetNames_.name(Target);
}

std::optional<framework::TargetId>
Environment::findTarget(const framework::TargetName &Name) const {
  return TargetNames_.find(Name);
}

const framework::KindName &Environment::kindName(calls::KindId Kind) const {
  return KindNames_.name(Kind).second;
}

const framework::ServiceName &
Environment::serviceName(framework::ServiceId Service) const {
  return Services_.name(Service);
}

std::optional<framework::ServiceId>
Environment::findService(const framework::ServiceName &Name) const {
  return Services_.find(Name);
}

const document::Workspace *
Environment::findWorkspace(const framework::WorkspaceName &Name) const {
  const auto Found = WorkspacesByName_.find(Name);
  return Found == WorkspacesByName_.end() ? nullptr : Found->second;
}

framework::WorkspaceId
Environment::internWorkspace(const framework::WorkspaceName &Name) {
  return Workspaces_.intern(Name);
}

const framework::WorkspaceName &
Environment::workspaceName(framework::WorkspaceId Workspace) const {
  return Workspaces_.name(Workspace);
}

const framework::ZoneName &Environment::zoneName(framework::ZoneId Zone) const {
  return Zones_.name(Zone);
}

framework::ZoneId Environment::internZone(const framework::ZoneName &Name) {
  return Zones_.intern(Name);
}

framework::TargetId Environment::internPeer(const framework::InstanceName &Name,
                                            const std::string &Address) {
  // Targets have no names with a slash.
  const framework::TargetId Peer =
      TargetNames_.intern(framework::TargetName("instance/" + Name.value()));
  setAddress(Peer, Address);
  Peers_.insert(Peer);
  return Peer;
}

void Environment::setAddress(framework::TargetId Target,
                             const std::string &Address) {
  const std::size_t Index = Target.value();
  if (Index >= Addresses_.size())
    Addresses_.resize(Index + 1);
  Addresses_[Index] = Address;
}

std::map<framework::GroupName, Environment::GroupInfo>
Environment::collectGroups() {
  std::map<framework::ZoneName, document::ZoneState> States;
  for (const document::Zone &Zone : Document_->Zones_)
    States[Zone.Name_] = Zone.State_;
  std::map<framework::GroupName, GroupInfo> Groups;
  for (const document::Service &Service : Document_->Services_)
    for (const document::TargetGroup &Group : Service.Groups_)
      Groups[Group.Name_] =
          GroupInfo{.Service_ = Services_.intern(Service.Name_),
                    .Zone_ = Group.Zone_,
                    .Slots_ = Service.SlotsPerTarget_,
                    .IsZoneOut_ = States[Group.Zone_] ==
                                  document::ZoneState::OutOfService};
  return Groups;
}

void Environment::rebuildTargets() {
  Targets_.clear();
  if (!Document_)
    return;
  addListedTargets();
  addStoredTargets();
  std::sort(Targets_.begin(), Targets_.end(),
            [](const auto &Left, const auto &Right) {
              return Left.Target_ < Right.Target_;
            });
}

void Environment::addListedTargets() {
  const auto Groups = collectGroups();
  for (const document::PublishedInstance &Instance : Instances_) {
    if (!Instance.Group_)
      continue;
    const auto Group = Groups.find(*Instance.Group_);
    if (Group == Groups.end())
      continue;
    addTarget(framework::TargetName(Instance.Name_.value()), Instance.Address_,
              {.Target_ = {},
               .Service_ = Group->second.Service_,
               .Zone_ = Zones_.intern(Group->second.Zone_),
               .Slots_ = Group->second.Slots_,
               .IsLeaving_ = Instance.IsLeaving_ || Group->second.IsZoneOut_});
  }
}

void Environment::addStoredTargets() {
  for (const fleet::PublishedTarget &Each : StoredTargets_) {
    const auto Service = Services_.find(Each.Service_);
    if (!Service || !ServicesById_.contains(*Service))
      continue;
    addTarget(Each.Name_, Each.Address_,
              {.Target_ = {},
               .Service_ = *Service,
               .Zone_ = Zones_.intern(Each.Zone_),
               .Slots_ = Each.Slots_,
               .IsLeaving_ = Each.IsDraining_,
               .Start_ = Each.Start_,
               .WarmupLeft_ = Each.WarmupLeft_,
               .IsUnconfirmed_ = Each.IsUnconfirmed_});
  }
}

void Environment::addTarget(const framework::TargetName &Name,
                            const std::string &Address,
                            routing::TargetDescription Description) {
  Description.Target_ = TargetNames_.intern(Name);
  setAddress(Description.Target_, Address);
  Targets_.push_back(Description);
}

} // namespace cranberryspool::decision
