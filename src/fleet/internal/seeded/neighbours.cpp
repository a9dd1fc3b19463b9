#include "fleet/internal/seeded/neighbours.h"

#include "fleet/internal/rendezvous.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

/// The task of reading the store.
constexpr std::string_view ReadingTask = "store";
/// The second takes over as soon as the first is silent.
constexpr std::size_t DelegatesOfGroup = 2;

} // namespace

bool Neighbours::form(const Members &From, framework::Instant Now) {
  if (From.changes() == FormedFor_)
    return false;
  FormedFor_ = From.changes();
  const MemberInfo &Self = From.self();
  // Sorted by name, so that all members form the same groups.
  std::map<framework::InstanceName, std::string> Near;
  Near.emplace(Self.Name_, Self.Address_);
  for (const auto &[Name, Known] : From.records())
    if (!Known.IsLost_ && !Known.IsStopping_ &&
        Known.Known_.Zone_ == Self.Zone_)
      Near.emplace(Name, Known.Known_.Address_);
  std::vector<Member> Zone;
  Zone_.clear();
  for (const auto &[Name, Address] : Near) {
    Zone.push_back({Name, Address});
    Zone_.insert(Name);
  }
  const std::size_t Groups = (Zone.size() + MaxSize - 1) / MaxSize;
  const auto Rank = static_cast<std::size_t>(
      std::distance(Near.begin(), Near.find(Self.Name_)));
  const std::size_t OwnGroup = Rank * Groups / Zone.size();
  appoint(Zone, Groups, OwnGroup);
  appointAbroad(From);
  std::map<framework::InstanceName, std::string> Group;
  for (std::size_t At = 0; At < Zone.size(); ++At)
    if (At * Groups / Zone.size() == OwnGroup && At != Rank)
      Group.emplace(Zone[At].Name_, Zone[At].Address_);
  if (Group == Addresses_)
    return false;
  Addresses_ = std::move(Group);
  std::erase_if(HeardAt_, [&](const auto &Each) {
    return !Addresses_.contains(Each.first);
  });
  for (const auto &[Name, Address] : Addresses_)
    HeardAt_.try_emplace(Name, Now);
  return true;
}

void Neighbours::appoint(const std::vector<Member> &Zone, std::size_t Groups,
                         std::size_t OwnGroup) {
  Delegates_.clear();
  BestElsewhere_ = 0;
  std::vector<std::vector<std::pair<std::uint64_t, std::size_t>>> Ranked(
      Groups);
  for (std::size_t At = 0; At < Zone.size(); ++At)
    Ranked[At * Groups / Zone.size()].emplace_back(
        rendezvousWeight(ReadingTask, Zone[At].Name_.value()), At);
  for (std::size_t Group = 0; Group < Groups; ++Group) {
    if (Group == OwnGroup)
      continue;
    auto &Ranks = Ranked[Group];
    std::sort(Ranks.rbegin(), Ranks.rend());
    BestElsewhere_ = std::max(BestElsewhere_, Ranks.front().first);
    const std::size_t Count = std::min(DelegatesOfGroup, Ranks.size());
    for (std::size_t Place = 0; Place < Count; ++Place)
      Delegates_.push_back(Zone[Ranks[Place].second].Address_);
  }
}

void Neighbours::appointAbroad(const Members &From) {
  std::map<framework::ZoneName, std::vector<Member>> Zones;
  for (const auto &[Name, Known] : From.records())
    if (!Known.IsLost_ && !Known.IsStopping_ &&
        Known.Known_.Zone_ != From.self().Zone_)
      Zones[Known.Known_.Zone_].push_back({Name, Known.Known_.Address_});
  OtherZones_.clear();
  for (auto &[Zone, Found] : Zones) {
    std::sort(Found.begin(), Found.end(),
              [](const Member &Left, const Member &Right) {
                return rendezvousWeight(ReadingTask, Left.Name_.value()) >
                       rendezvousWeight(ReadingTask, Right.Name_.value());
              });
    const std::size_t Count = std::min(DelegatesOfGroup, Found.size());
    for (std::size_t Place = 0; Place < Count; ++Place)
      OtherZones_.push_back(Found[Place].Address_);
  }
}

bool Neighbours::isTeller(const framework::InstanceName &Self,
                          framework::Instant Now) const {
  return isResponsible(ReadingTask, Self, Now);
}

bool Neighbours::isZoneReader(const framework::InstanceName &Self,
                              framework::Instant Now) const {
  return rendezvousWeight(ReadingTask, Self.value()) > BestElsewhere_ &&
         isTeller(Self, Now);
}

void Neighbours::noteHeard(const framework::InstanceName &Name,
                           framework::Instant Now) {
  if (Addresses_.contains(Name))
    HeardAt_[Name] = Now;
}

bool Neighbours::isResponsible(std::string_view Task,
                               const framework::InstanceName &Self,
                               framework::Instant Now) const {
  const std::uint64_t Own = rendezvousWeight(Task, Self.value());
  return std::none_of(HeardAt_.begin(), HeardAt_.end(), [&](const auto &Each) {
    return Now - Each.second < SilentAfter &&
           rendezvousWeight(Task, Each.first.value()) > Own;
  });
}

bool Neighbours::isZoneResponsible(std::string_view Task,
                                   const framework::InstanceName &Self,
                                   framework::Instant Now) const {
  if (!isResponsible(Task, Self, Now))
    return false;
  const std::uint64_t Own = rendezvousWeight(Task, Self.value());
  return std::none_of(Zone_.begin(), Zone_.end(), [&](const auto &Name) {
    return Name != Self && !Addresses_.contains(Name) &&
           rendezvousWeight(Task, Name.value()) > Own;
  });
}

} // namespace cranberryspool::fleet
