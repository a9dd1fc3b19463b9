#include "fleet/internal/seeded/neighbours.h"

#include "fleet/internal/rendezvous.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

bool Neighbours::form(const Members &From, framework::Instant Now) {
  std::map<framework::InstanceName, std::string> Near;
  const KnownMember &Self = From.self();
  Near.emplace(Self.Name_, Self.Address_);
  for (const auto &[Name, Known] : From.records())
    if (!Known.IsLost_ && !Known.IsStopping_ &&
        Known.Known_.Zone_ == Self.Zone_)
      Near.emplace(Name, Known.Known_.Address_);
  // Blocks of the zone's members by name, all of about the same size.
  const std::size_t Groups = (Near.size() + MaxSize - 1) / MaxSize;
  const auto Rank = static_cast<std::size_t>(
      std::distance(Near.begin(), Near.find(Self.Name_)));
  const std::size_t OwnGroup = Rank * Groups / Near.size();
  std::map<framework::InstanceName, std::string> Group;
  std::size_t At = 0;
  for (const auto &[Name, Address] : Near) {
    if (At * Groups / Near.size() == OwnGroup && Name != Self.Name_)
      Group.emplace(Name, Address);
    ++At;
  }
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

} // namespace cranberryspool::fleet
