#include "capacity/computeallotment.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <utility>
#include <vector>

namespace cranberryspool::capacity {

namespace {

/// The fraction of a group's slots from which its demand counts as contended.
constexpr double ContendedFraction = 0.9;

using Counts = std::vector<std::uint32_t>;

/// Returns the target of each slot. Neighbouring slots belong to different
/// targets, so that an instance does not depend on one of them.
std::vector<std::size_t> orderSlots(std::span<const std::uint32_t> Slots) {
  std::vector<std::size_t> Order;
  const std::uint32_t Most =
      Slots.empty() ? 0 : *std::max_element(Slots.begin(), Slots.end());
  for (std::uint32_t Round = 0; Round < Most; ++Round)
    for (std::size_t Target = 0; Target < Slots.size(); ++Target)
      if (Round < Slots[Target])
        Order.push_back(Target);
  return Order;
}

std::size_t firstSlot(std::uint64_t Slots, std::uint64_t Rank,
                      std::uint64_t FleetSize) {
  return static_cast<std::size_t>(Slots * Rank / FleetSize);
}

/// Divides `Slots` among members by the D'Hondt method. Each first gets as many
/// as it needs of `Guaranteed`, whatever the others ask for.
Counts apportion(std::size_t Slots, std::uint32_t Guaranteed,
                 const Counts &Demand) {
  Counts Result;
  for (const std::uint32_t Each : Demand) {
    Result.push_back(std::min(Each, Guaranteed));
    Slots -= std::min<std::size_t>(Slots, Result.back());
  }
  for (; Slots > 0; --Slots) {
    std::size_t Best = 0;
    for (std::size_t Index = 1; Index < Demand.size(); ++Index) {
      const auto Left = std::uint64_t{Demand[Index]} * (Result[Best] + 1);
      const auto Right = std::uint64_t{Demand[Best]} * (Result[Index] + 1);
      if (Left > Right)
        Best = Index;
    }
    ++Result[Best];
  }
  return Result;
}

/// Returns the member that uses each slot of the group. A member uses its own
/// slots first and then the remaining ones in order.
std::vector<std::size_t> place(const Counts &Shares, const Counts &OwnSlots) {
  std::vector<std::size_t> Users;
  Counts Extra;
  for (std::size_t Member = 0; Member < Shares.size(); ++Member) {
    const std::uint32_t Kept = std::min(Shares[Member], OwnSlots[Member]);
    Extra.push_back(Shares[Member] - Kept);
    Users.insert(Users.end(), Kept, Member);
    Users.insert(Users.end(), OwnSlots[Member] - Kept, Shares.size());
  }
  std::size_t Borrower = 0;
  for (std::size_t &User : Users) {
    if (User != Shares.size())
      continue;
    while (Borrower < Extra.size() && Extra[Borrower] == 0)
      ++Borrower;
    if (Borrower == Extra.size())
      break;
    --Extra[Borrower];
    User = Borrower;
  }
  return Users;
}

} // namespace

std::optional<SlotAllotment>
computeAllotment(std::span<const std::uint32_t> SlotsByTarget,
                 const PeerGroupDemand &Group) {
  const std::size_t Members = Group.Calls_.size();
  const bool IsRankValid = Group.FirstRank_ + Members <= Group.FleetSize_;
  if (Group.Own_ >= Members || !IsRankValid)
    return std::nullopt;
  const std::vector<std::size_t> Order = orderSlots(SlotsByTarget);
  Counts OwnSlots;
  Counts Demand;
  bool IsAnyPeerKnown = false;
  for (std::size_t Member = 0; Member < Members; ++Member) {
    const auto Rank = Group.FirstRank_ + static_cast<std::uint32_t>(Member);
    OwnSlots.push_back(static_cast<std::uint32_t>(
        firstSlot(Order.size(), Rank + 1, Group.FleetSize_) -
        firstSlot(Order.size(), Rank, Group.FleetSize_)));
    Demand.push_back(Group.Calls_[Member].value_or(OwnSlots.back()));
    IsAnyPeerKnown =
        IsAnyPeerKnown || (Member != Group.Own_ && Group.Calls_[Member]);
  }
  const std::size_t First =
      firstSlot(Order.size(), Group.FirstRank_, Group.FleetSize_);
  const std::size_t Slots =
      std::accumulate(OwnSlots.begin(), OwnSlots.end(), std::size_t{});
  const auto Total =
      std::accumulate(Demand.begin(), Demand.end(), std::uint64_t{});
  if (!IsAnyPeerKnown || Slots == 0 ||
      static_cast<double>(Total) <
          ContendedFraction * static_cast<double>(Slots))
    return std::nullopt;
  const auto Guaranteed =
      static_cast<std::uint32_t>(Order.size() / Group.FleetSize_);
  const Counts Shares = apportion(Slots, Guaranteed, Demand);
  const std::vector<std::size_t> Users = place(Shares, OwnSlots);
  SlotAllotment Result;
  Result.SlotsByTarget_.resize(SlotsByTarget.size());
  for (std::size_t Slot = 0; Slot < Users.size(); ++Slot) {
    if (Users[Slot] != Group.Own_)
      continue;
    ++Result.Total_;
    ++Result.SlotsByTarget_[Order[First + Slot]];
  }
  return Result;
}

} // namespace cranberryspool::capacity
