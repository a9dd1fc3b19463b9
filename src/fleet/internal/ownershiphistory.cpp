#include "fleet/internal/ownershiphistory.h"
#include "fleet/internal/rendezvous.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

/// The number of member lists that are remembered. Dropping the oldest one can
/// only make the ownership appear shorter than it is.
constexpr std::size_t MaxVersions = 16;

using MemberList = std::vector<document::PublishedInstance>;

bool isActive(const MemberList &Members, const framework::InstanceName &Name) {
  return std::any_of(Members.begin(), Members.end(),
                     [&](const document::PublishedInstance &Member) {
                       return Member.Name_ == Name && !Member.IsLeaving_;
                     });
}

MemberList withoutMember(MemberList Members,
                         const framework::InstanceName &Name) {
  std::erase_if(Members, [&](const document::PublishedInstance &Member) {
    return Member.Name_ == Name;
  });
  return Members;
}

} // namespace

OwnershipHistory::OwnershipHistory(framework::InstanceName Self)
    : Self_(std::move(Self)) {}

void OwnershipHistory::addMemberList(const MemberList &Members,
                                     framework::Digest Digest,
                                     framework::Revision PreviousRevision) {
  Versions_.push_back(
      Version{Digest, PreviousRevision, Members, std::nullopt, false});
  if (Versions_.size() > MaxVersions)
    Versions_.pop_front();
}

void OwnershipHistory::markEffective(framework::Instant Now) {
  if (!Versions_.empty() && !Versions_.back().EffectiveSince_)
    Versions_.back().EffectiveSince_ = Now;
}

void OwnershipHistory::invalidateOwnership() {
  for (Version &Item : Versions_) {
    Item.EffectiveSince_.reset();
    Item.WasInvalidated_ = true;
  }
}

bool OwnershipHistory::isEffective() const {
  return !Versions_.empty() && Versions_.back().EffectiveSince_;
}

bool OwnershipHistory::isKnown(framework::Digest Digest) const {
  if (!Versions_.empty() && Versions_.back().Digest_ == Digest)
    return true;
  return std::any_of(Versions_.begin(), Versions_.end(),
                     [&](const Version &Item) {
                       return Item.EffectiveSince_ && Item.Digest_ == Digest;
                     });
}

bool OwnershipHistory::isOwner(const Version &Item,
                               std::string_view Subject) const {
  const document::PublishedInstance *Owner = findOwner(Subject, Item.Members_);
  return Owner && Owner->Name_ == Self_;
}

framework::InstanceName
OwnershipHistory::previousOwner(std::size_t Index,
                                std::string_view Subject) const {
  const MemberList Previous =
      Index > 0 ? Versions_[Index - 1].Members_
                : withoutMember(Versions_.front().Members_, Self_);
  const document::PublishedInstance *Owner = findOwner(Subject, Previous);
  return Owner ? Owner->Name_ : framework::InstanceName{};
}

std::optional<OwnershipPeriod>
OwnershipHistory::periodFrom(std::size_t Index) const {
  const Version &First = Versions_[Index];
  for (std::size_t Later = Index; Later < Versions_.size(); ++Later) {
    if (!Versions_[Later].EffectiveSince_)
      continue;
    OwnershipPeriod Period;
    Period.Since_ = *Versions_[Later].EffectiveSince_;
    if (!First.WasInvalidated_)
      Period.Digest_ = First.Digest_;
    Period.PreviousRevision_ = First.PreviousRevision_;
    return Period;
  }
  return std::nullopt;
}

std::optional<OwnershipPeriod>
OwnershipHistory::currentPeriod(std::string_view Subject) const {
  std::size_t First = Versions_.size();
  while (First > 0 && isOwner(Versions_[First - 1], Subject))
    --First;
  if (First == Versions_.size())
    return std::nullopt;
  auto Period = periodFrom(First);
  if (Period)
    Period->PreviousOwner_ = previousOwner(First, Subject);
  return Period;
}

std::vector<OwnershipPeriod> OwnershipHistory::allPeriods() const {
  std::vector<OwnershipPeriod> Periods;
  for (std::size_t Index = 0; Index < Versions_.size(); ++Index) {
    const auto Period = periodFrom(Index);
    if (!Period)
      continue;
    const MemberList &Current = Versions_[Index].Members_;
    const MemberList &Previous =
        Index > 0 ? Versions_[Index - 1].Members_ : Current;
    const bool HasJoined = Index == 0 || !isActive(Previous, Self_);
    for (const document::PublishedInstance &Member : Previous) {
      if (Member.IsLeaving_ || Member.Name_ == Self_)
        continue;
      if (!HasJoined && isActive(Current, Member.Name_))
        continue;
      Periods.push_back(*Period);
      Periods.back().PreviousOwner_ = Member.Name_;
    }
    if (Versions_[Index].WasInvalidated_)
      Periods.push_back(*Period);
  }
  return Periods;
}

} // namespace cranberryspool::fleet
