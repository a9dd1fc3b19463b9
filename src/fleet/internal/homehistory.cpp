#include "fleet/internal/homehistory.h"
#include "fleet/internal/rendezvous.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

/// The most lists that are remembered; the oldest is dropped first, which can
/// only make an instance appear to be home for a shorter time.
constexpr std::size_t MaxVersions = 16;

using MemberList = std::vector<document::PublishedInstance>;

bool isLive(const MemberList &Members, const framework::InstanceName &Name) {
  return std::any_of(Members.begin(), Members.end(),
                     [&](const document::PublishedInstance &Member) {
                       return Member.Name_ == Name && !Member.IsLeaving_;
                     });
}

MemberList without(MemberList Members, const framework::InstanceName &Name) {
  std::erase_if(Members, [&](const document::PublishedInstance &Member) {
    return Member.Name_ == Name;
  });
  return Members;
}

} // namespace

HomeHistory::HomeHistory(framework::InstanceName Self)
    : Self_(std::move(Self)) {}

void HomeHistory::noteMembers(const MemberList &Members,
                              framework::Digest Digest,
                              framework::Revision RevisionBefore) {
  Versions_.push_back(
      Version{Digest, RevisionBefore, Members, std::nullopt, false});
  if (Versions_.size() > MaxVersions)
    Versions_.pop_front();
}

void HomeHistory::noteSettled(framework::Instant Now) {
  if (!Versions_.empty() && !Versions_.back().SettledAt_)
    Versions_.back().SettledAt_ = Now;
}

void HomeHistory::noteLapse() {
  for (Version &Item : Versions_) {
    Item.SettledAt_.reset();
    Item.HasLapsed_ = true;
  }
}

bool HomeHistory::isSettled() const {
  return !Versions_.empty() && Versions_.back().SettledAt_;
}

bool HomeHistory::isKnown(framework::Digest Digest) const {
  if (!Versions_.empty() && Versions_.back().Digest_ == Digest)
    return true;
  return std::any_of(Versions_.begin(), Versions_.end(),
                     [&](const Version &Item) {
                       return Item.SettledAt_ && Item.Digest_ == Digest;
                     });
}

bool HomeHistory::isHome(const Version &Item, std::string_view Subject) const {
  const document::PublishedInstance *Home = findHome(Subject, Item.Members_);
  return Home && Home->Name_ == Self_;
}

framework::InstanceName
HomeHistory::homeBefore(std::size_t Index, std::string_view Subject) const {
  const MemberList Before = Index > 0
                                ? Versions_[Index - 1].Members_
                                : without(Versions_.front().Members_, Self_);
  const document::PublishedInstance *Home = findHome(Subject, Before);
  return Home ? Home->Name_ : framework::InstanceName{};
}

std::optional<Tenure> HomeHistory::tenureFrom(std::size_t Index) const {
  const Version &First = Versions_[Index];
  for (std::size_t Later = Index; Later < Versions_.size(); ++Later) {
    if (!Versions_[Later].SettledAt_)
      continue;
    Tenure Found;
    Found.Since_ = *Versions_[Later].SettledAt_;
    if (!First.HasLapsed_)
      Found.Digest_ = First.Digest_;
    Found.RevisionBefore_ = First.RevisionBefore_;
    return Found;
  }
  return std::nullopt;
}

std::optional<Tenure> HomeHistory::tenure(std::string_view Subject) const {
  std::size_t First = Versions_.size();
  while (First > 0 && isHome(Versions_[First - 1], Subject))
    --First;
  if (First == Versions_.size())
    return std::nullopt;
  auto Found = tenureFrom(First);
  if (Found)
    Found->HomeBefore_ = homeBefore(First, Subject);
  return Found;
}

std::vector<Tenure> HomeHistory::allTenures() const {
  std::vector<Tenure> All;
  for (std::size_t Index = 0; Index < Versions_.size(); ++Index) {
    const auto Base = tenureFrom(Index);
    if (!Base)
      continue;
    const MemberList &Now = Versions_[Index].Members_;
    const MemberList &Before = Index > 0 ? Versions_[Index - 1].Members_ : Now;
    const bool HasJoined = Index == 0 || !isLive(Before, Self_);
    for (const document::PublishedInstance &Member : Before) {
      if (Member.IsLeaving_ || Member.Name_ == Self_)
        continue;
      if (!HasJoined && isLive(Now, Member.Name_))
        continue;
      All.push_back(*Base);
      All.back().HomeBefore_ = Member.Name_;
    }
    if (Versions_[Index].HasLapsed_)
      All.push_back(*Base);
  }
  return All;
}

} // namespace cranberryspool::fleet
