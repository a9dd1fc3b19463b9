#include "decision/internal/environment.h"

#include "document/sections.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::decision {

void Environment::setDocument(const document::EnvironmentDocument &Document) {
  Document_ = Document;
  Digest_ = document::documentDigest(Document);
  Kinds_ = document::KindIndex(*Document_);
  KindIds_.clear();
  ByService_.clear();
  for (const document::Service &Service : Document_->Services_) {
    ByService_[Services_.intern(Service.Name_)] = &Service;
    std::vector<calls::KindId> &Ids = KindIds_.emplace_back();
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

std::uint32_t Environment::instanceCount() const {
  const auto Count = std::count_if(
      Instances_.begin(), Instances_.end(),
      [](const auto &Instance) { return !Instance.Group_.has_value(); });
  return std::max(static_cast<std::uint32_t>(Count), 1U);
}

std::optional<MatchedKind> Environment::match(std::string_view Method,
                                              std::string_view Path) const {
  if (!Document_)
    return std::nullopt;
  const auto Found = Kinds_.match(Method, Path);
  if (!Found)
    return std::nullopt;
  const document::Service &Service =
      Document_->Services_[Found->Service_.value()];
  return MatchedKind{
      .Service_ = *Services_.find(Service.Name_),
      .Kind_ = KindIds_[Found->Service_.value()][Found->Kind_.value()],
      .Rules_ = &Service.Kinds_[Found->Kind_.value()]};
}

bool Environment::takesWork(framework::TargetId Target) const {
  const auto Position = std::lower_bound(
      Targets_.begin(), Targets_.end(), Target,
      [](const routing::TargetDescription &Left, framework::TargetId Right) {
        return Left.Target_ < Right;
      });
  if (Position == Targets_.end() || Position->Target_ != Target)
    return false;
  return !Position->IsLeaving_;
}

const document::Service *
Environment::service(framework::ServiceId Service) const {
  const auto Position = ByService_.find(Service);
  return Position == ByService_.end() ? nullptr : Position->second;
}

const std::string &Environment::address(framework::TargetId Target) const {
  return Addresses_.at(Target.value());
}

framework::TargetName
Environment::targetName(framework::TargetId Target) const {
  return TargetNames_.name(Target);
}

std::optional<framework::TargetId>
Environment::findTarget(const framework::TargetName &Name) const {
  return TargetNames_.find(Name);
}

const framework::ServiceName &
Environment::serviceName(framework::ServiceId Service) const {
  return Services_.name(Service);
}

std::optional<framework::ServiceId>
Environment::findService(const framework::ServiceName &Name) const {
  return Services_.find(Name);
}

const framework::ZoneName &Environment::zoneName(framework::ZoneId Zone) const {
  return Zones_.name(Zone);
}

framework::ZoneId Environment::internZone(const framework::ZoneName &Name) {
  return Zones_.intern(Name);
}

std::map<framework::GroupName, Environment::GroupPlace>
Environment::placeGroups() {
  std::map<framework::ZoneName, document::ZoneState> States;
  for (const document::Zone &Zone : Document_->Zones_)
    States[Zone.Name_] = Zone.State_;
  std::map<framework::GroupName, GroupPlace> Places;
  for (const document::Service &Service : Document_->Services_)
    for (const document::TargetGroup &Group : Service.Groups_)
      Places[Group.Name_] = GroupPlace{
          .Service_ = Services_.intern(Service.Name_),
          .Zone_ = Group.Zone_,
          .Slots_ = Service.SlotsPerTarget_,
          .IsZoneOut_ = States[Group.Zone_] == document::ZoneState::Out};
  return Places;
}

void Environment::rebuildTargets() {
  Targets_.clear();
  if (!Document_)
    return;
  const auto Places = placeGroups();
  for (const document::PublishedInstance &Instance : Instances_) {
    if (!Instance.Group_)
      continue;
    const auto Place = Places.find(*Instance.Group_);
    if (Place == Places.end())
      continue;
    const framework::TargetId Id =
        TargetNames_.intern(framework::TargetName(Instance.Name_.value()));
    if (Id.value() >= Addresses_.size())
      Addresses_.resize(Id.value() + 1);
    Addresses_[Id.value()] = Instance.Address_;
    Targets_.push_back(routing::TargetDescription{
        .Target_ = Id,
        .Service_ = Place->second.Service_,
        .Zone_ = Zones_.intern(Place->second.Zone_),
        .Slots_ = Place->second.Slots_,
        .IsLeaving_ = Instance.IsLeaving_ || Place->second.IsZoneOut_});
  }
  std::sort(Targets_.begin(), Targets_.end(),
            [](const auto &Left, const auto &Right) {
              return Left.Target_ < Right.Target_;
            });
}

} // namespace cranberryspool::decision
