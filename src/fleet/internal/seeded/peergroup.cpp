#include "fleet/internal/seeded/peergroup.h"

#include "fleet/internal/rendezvous.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

using framework::Duration;

constexpr std::string_view StoreReadTask = "store";
/// The second relay takes over as soon as the first one is silent.
constexpr std::size_t RelaysPerGroup = 2;

} // namespace

bool PeerGroup::rebuild(const Membership &Members, framework::Instant Now) {
  if (Members.version() == BuiltVersion_)
    return false;
  BuiltVersion_ = Members.version();
  const MemberInfo &Self = Members.self();
  // Sorted by name, so that all members compute the same groups.
  std::map<framework::InstanceName, std::string> ZoneAddresses;
  ZoneAddresses.emplace(Self.Name_, Self.Address_);
  for (const auto &[Name, State] : Members.members())
    if (!State.IsLost_ && !State.IsStopping_ && State.Info_.Zone_ == Self.Zone_)
      ZoneAddresses.emplace(Name, State.Info_.Address_);
  std::vector<Candidate> Zone;
  Zone_.clear();
  for (const auto &[Name, Address] : ZoneAddresses) {
    Zone.push_back({Name, Address});
    Zone_.insert(Name);
  }
  const std::size_t Groups = (Zone.size() + MaxSize - 1) / MaxSize;
  const auto Rank = static_cast<std::size_t>(
      std::distance(ZoneAddresses.begin(), ZoneAddresses.find(Self.Name_)));
  ZonePosition_ = ZonePosition{static_cast<std::uint32_t>(Rank),
                               static_cast<std::uint32_t>(Zone.size())};
  const std::size_t OwnGroup = Rank * Groups / Zone.size();
  const std::size_t HigherBefore = countHigherGroups(Self.Name_);
  selectGroupRelays(Zone, Groups, OwnGroup);
  if (countHigherGroups(Self.Name_) > HigherBefore)
    LastZoneUpdateAt_ = Now;
  selectZoneRelays(Members);
  std::map<framework::InstanceName, std::string> Group;
  for (std::size_t Index = 0; Index < Zone.size(); ++Index)
    if (Index * Groups / Zone.size() == OwnGroup && Index != Rank)
      Group.emplace(Zone[Index].Name_, Zone[Index].Address_);
  if (Group == Addresses_)
    return false;
  Addresses_ = std::move(Group);
  for (auto *Times : {&LastSeenAt_, &LastUpdateAt_}) {
    std::erase_if(*Times, [&](const auto &Each) {
      return !Addresses_.contains(Each.first);
    });
    for (const auto &[Name, Address] : Addresses_)
      Times->try_emplace(Name, Now);
  }
  return true;
}

void PeerGroup::selectGroupRelays(const std::vector<Candidate> &Zone,
                                  std::size_t Groups, std::size_t OwnGroup) {
  GroupRelays_.clear();
  OtherGroupWeights_.clear();
  std::vector<std::vector<std::pair<std::uint64_t, std::size_t>>> Ranked(
      Groups);
  for (std::size_t Index = 0; Index < Zone.size(); ++Index)
    Ranked[Index * Groups / Zone.size()].emplace_back(
        rendezvousWeight(StoreReadTask, Zone[Index].Name_.value()), Index);
  for (std::size_t Group = 0; Group < Groups; ++Group) {
    if (Group == OwnGroup)
      continue;
    auto &Ranks = Ranked[Group];
    std::sort(Ranks.rbegin(), Ranks.rend());
    OtherGroupWeights_.push_back(Ranks.front().first);
    const std::size_t Count = std::min(RelaysPerGroup, Ranks.size());
    for (std::size_t Position = 0; Position < Count; ++Position)
      GroupRelays_.push_back(Zone[Ranks[Position].second].Address_);
  }
}

void PeerGroup::selectZoneRelays(const Membership &Members) {
  std::map<framework::ZoneName, std::vector<Candidate>> Zones;
  for (const auto &[Name, State] : Members.members())
    if (!State.IsLost_ && !State.IsStopping_ &&
        State.Info_.Zone_ != Members.self().Zone_)
      Zones[State.Info_.Zone_].push_back({Name, State.Info_.Address_});
  ZoneRelays_.clear();
  for (auto &[Zone, Candidates] : Zones) {
    std::sort(Candidates.begin(), Candidates.end(),
              [](const Candidate &Left, const Candidate &Right) {
                return rendezvousWeight(StoreReadTask, Left.Name_.value()) >
                       rendezvousWeight(StoreReadTask, Right.Name_.value());
              });
    const std::size_t Count = std::min(RelaysPerGroup, Candidates.size());
    for (std::size_t Position = 0; Position < Count; ++Position)
      ZoneRelays_.push_back(Candidates[Position].Address_);
  }
}

bool PeerGroup::isGroupLeader(const framework::InstanceName &Self,
                              framework::Instant Now) const {
  return !isHigherRankedActive(StoreReadTask, Self, LastUpdateAt_, Now);
}

bool PeerGroup::isZoneLeader(const framework::InstanceName &Self,
                             framework::Instant Now) const {
  if (!isGroupLeader(Self, Now))
    return false;
  const std::size_t Higher = countHigherGroups(Self);
  if (Higher == 0)
    return true;
  const Duration Wait =
      SilenceTimeout +
      TakeoverInterval *
          static_cast<std::int64_t>(std::min(Higher - 1, MaxTakeoverIntervals));
  return Now - LastZoneUpdateAt_ >= Wait;
}

std::size_t
PeerGroup::countHigherGroups(const framework::InstanceName &Self) const {
  const std::uint64_t Own = rendezvousWeight(StoreReadTask, Self.value());
  return static_cast<std::size_t>(
      std::count_if(OtherGroupWeights_.begin(), OtherGroupWeights_.end(),
                    [Own](std::uint64_t Each) { return Each > Own; }));
}

bool PeerGroup::isHigherRankedActive(
    std::string_view Task, const framework::InstanceName &Self,
    const std::map<framework::InstanceName, framework::Instant> &ActiveAt,
    framework::Instant Now) {
  const std::uint64_t Own = rendezvousWeight(Task, Self.value());
  return std::any_of(ActiveAt.begin(), ActiveAt.end(), [&](const auto &Each) {
    return Now - Each.second < SilenceTimeout &&
           rendezvousWeight(Task, Each.first.value()) > Own;
  });
}

void PeerGroup::recordActivity(const framework::InstanceName &Name,
                               framework::Instant Now) {
  if (Addresses_.contains(Name))
    LastSeenAt_[Name] = Now;
}

void PeerGroup::recordUpdate(const framework::InstanceName &Name,
                             const framework::InstanceName &Self,
                             framework::Instant Now) {
  if (Addresses_.contains(Name))
    LastUpdateAt_[Name] = Now;
  else if (Zone_.contains(Name) &&
           rendezvousWeight(StoreReadTask, Name.value()) >
               rendezvousWeight(StoreReadTask, Self.value()))
    LastZoneUpdateAt_ = Now;
}

bool PeerGroup::isResponsibleInGroup(std::string_view Task,
                                     const framework::InstanceName &Self,
                                     framework::Instant Now) const {
  return !isHigherRankedActive(Task, Self, LastSeenAt_, Now);
}

bool PeerGroup::isResponsibleInZone(std::string_view Task,
                                    const framework::InstanceName &Self,
                                    framework::Instant Now) const {
  if (!isResponsibleInGroup(Task, Self, Now))
    return false;
  const std::uint64_t Own = rendezvousWeight(Task, Self.value());
  return std::none_of(Zone_.begin(), Zone_.end(), [&](const auto &Name) {
    return Name != Self && !Addresses_.contains(Name) &&
           rendezvousWeight(Task, Name.value()) > Own;
  });
}

} // namespace cranberryspool::fleet
