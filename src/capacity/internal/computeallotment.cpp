#include "capacity/computeallotment.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <utility>
#include <vector>

namespace cranberryspool::capacity {

namespace {

/// The fraction of a group's slots from which its demand counts as contended.
/// With 0.7 and 0.9 more requests met at a target: the first calls of a burst
/// were still sent on load reports.
constexpr double ContendedFraction = 0.5;
/// How much more a member's demand counts for a slot of its own. With 1, slots
/// changed hands with every small change of queues, and requests of two members
/// met at a target; with 8, a member without slots of its own still gets one
/// when eight times as many calls wait for it.
constexpr std::uint64_t OwnSlotWeight = 8;
/// The weight of a call. A member without calls counts as having a sixteenth of
/// one, so that it keeps its own slot for the next call unless others are short
/// of slots. With a quarter of a call too few slots were lent: after a burst
/// 0.94 instead of 0.96 of the calls met their objective.
constexpr std::uint64_t DemandScale = 16;
constexpr std::uint64_t IdleDemand = 1;

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

/// Mixes the bits of the argument (the finalizer of SplitMix64).
std::uint64_t mix(std::uint64_t Bits) {
  Bits = (Bits ^ (Bits >> 30)) * 0xBF58476D1CE4E5B9ULL;
  Bits = (Bits ^ (Bits >> 27)) * 0x94D049BB133111EBULL;
  return Bits ^ (Bits >> 31);
}

/// Divides slots among members by the D'Hondt method: each goes to the member
/// with the largest quotient of its demand and the slots that it would have.
class Apportionment {
public:
  Apportionment(const Counts &Demand, const Counts &OwnSlots)
      : Demand_(Demand), OwnSlots_(OwnSlots), Shares_(Demand.size(), 0) {}

  /// Each member first gets as many as it needs of `Guaranteed`, whatever the
  /// others ask for.
  Counts run(std::size_t Slots, std::uint32_t Guaranteed) {
    for (std::size_t Member = 0; Member < Shares_.size(); ++Member) {
      Shares_[Member] = std::min(Demand_[Member], Guaranteed);
      Slots -= std::min<std::size_t>(Slots, Shares_[Member]);
    }
    for (; Slots > 0; --Slots) {
      std::size_t Best = 0;
      for (std::size_t Member = 1; Member < Shares_.size(); ++Member)
        if (weight(Member) * (Shares_[Best] + 1) >
            weight(Best) * (Shares_[Member] + 1))
          Best = Member;
      ++Shares_[Best];
    }
    return Shares_;
  }

private:
  std::uint64_t weight(std::size_t Member) const {
    const std::uint64_t Demand =
        std::max(std::uint64_t{Demand_[Member]} * DemandScale, IdleDemand);
    return Shares_[Member] < OwnSlots_[Member] ? Demand * OwnSlotWeight
                                               : Demand;
  }

  const Counts &Demand_;
  const Counts &OwnSlots_;
  Counts Shares_;
};

/// Returns the member that uses each slot of the group. A member uses its own
/// slots first. Each of the others goes to the member with the highest
/// rendezvous weight among those that lack slots, so that a change of one
/// member's share moves few slots.
std::vector<std::size_t> place(const Counts &Shares, const Counts &OwnSlots) {
  const std::size_t Nobody = Shares.size();
  std::vector<std::size_t> Users;
  Counts Lacking;
  for (std::size_t Member = 0; Member < Shares.size(); ++Member) {
    const std::uint32_t Kept = std::min(Shares[Member], OwnSlots[Member]);
    Lacking.push_back(Shares[Member] - Kept);
    Users.insert(Users.end(), Kept, Member);
    Users.insert(Users.end(), OwnSlots[Member] - Kept, Nobody);
  }
  for (std::size_t Slot = 0; Slot < Users.size(); ++Slot) {
    if (Users[Slot] != Nobody)
      continue;
    std::uint64_t Highest = 0;
    for (std::size_t Member = 0; Member < Lacking.size(); ++Member) {
      const std::uint64_t Weight = mix((Slot << 32) + Member + 1);
      if (Lacking[Member] == 0 || Weight < Highest)
        continue;
      Highest = Weight;
      Users[Slot] = Member;
    }
    if (Users[Slot] != Nobody)
      --Lacking[Users[Slot]];
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
  const Counts Shares = Apportionment(Demand, OwnSlots).run(Slots, Guaranteed);
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
