#include "quotas/internal/memberview.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace cranberryspool::quotas {

namespace {

constexpr framework::Duration ReviewInterval = std::chrono::milliseconds(500);

using framework::InstanceName;
using framework::Instant;
using framework::WorkspaceName;

std::uint64_t seedOf(const InstanceName &Name) {
  return XXH64(Name.value().data(), Name.value().size(), 0);
}

/// Rendezvous hashing (Thaler and Ravishankar, 1998): removing a member moves
/// only the places that it held.
std::uint64_t weightOf(const WorkspaceName &Workspace, std::uint64_t Seed) {
  return XXH64(Workspace.value().data(), Workspace.value().size(), Seed);
}

} // namespace

MemberView::MemberView(const QuotaSettings &Settings)
    : Settings_(Settings), SelfSeed_(seedOf(Settings.Self_)),
      LargestCount_(std::max<std::size_t>(Settings.ExpectedInstances_, 1)) {}

void MemberView::setMembers(std::vector<QuotaMember> Running,
                            std::size_t KnownCount) {
  std::map<InstanceName, Member> Previous = std::exchange(Members_, {});
  for (QuotaMember &Each : Running) {
    if (Each.Name_ == Settings_.Self_)
      continue;
    Member New;
    New.Seed_ = seedOf(Each.Name_);
    New.Info_ = std::move(Each);
    Members_.insert_or_assign(New.Info_.Name_, std::move(New));
  }
  RunningCount_ = Members_.size() + 1;
  KnownCount_ = std::max(KnownCount, RunningCount_);
  for (auto &[Name, Each] : Previous) {
    if (Members_.contains(Name))
      continue;
    Each.IsRunning_ = false;
    Members_.emplace(Name, std::move(Each));
  }
  std::erase_if(ProbedAt_, [this](const auto &Each) {
    return find(Each.first) == nullptr;
  });
  ++Version_;
  // Members that are gone get their time at the next operation.
  NextReviewAt_ = {};
}

void MemberView::advance(Instant Now) {
  Now_ = Now;
  if (!StartedAt_) {
    StartedAt_ = Now;
    LargestAt_ = Now;
  }
  if (RunningCount_ >= LargestCount_ || Now >= LargestAt_ + FleetMemory) {
    LargestCount_ = RunningCount_;
    LargestAt_ = Now;
  }
  if (Now >= NextReviewAt_)
    reviewRemoved();
}

void MemberView::reviewRemoved() {
  NextReviewAt_ = Now_ + ReviewInterval;
  for (auto Each = Members_.begin(); Each != Members_.end();) {
    Member &Current = Each->second;
    const bool HeldPlace = Current.HoldsPlace_;
    if (!Current.IsRunning_ && !Current.RemovedAt_)
      Current.RemovedAt_ = Now_;
    Current.HoldsPlace_ =
        Current.IsRunning_ || Now_ < *Current.RemovedAt_ + RemovalDelay;
    if (HeldPlace != Current.HoldsPlace_)
      ++Version_;
    const bool IsForgotten =
        !Current.IsRunning_ && Now_ >= *Current.RemovedAt_ + FleetMemory;
    Each = IsForgotten ? Members_.erase(Each) : std::next(Each);
  }
}

const QuotaMember *MemberView::find(const InstanceName &Name) const {
  const auto Found = Members_.find(Name);
  const bool IsRunning = Found != Members_.end() && Found->second.IsRunning_;
  return IsRunning ? &Found->second.Info_ : nullptr;
}

std::vector<MemberView::Shareholder>
MemberView::findShareholders(const WorkspaceName &Workspace) const {
  std::vector<std::pair<std::uint64_t, Shareholder>> Ranked;
  Ranked.reserve(Members_.size() + 1);
  Ranked.push_back({selfWeight(Workspace), {Settings_.Self_, true}});
  for (const auto &[Name, Each] : Members_)
    if (Each.HoldsPlace_)
      Ranked.push_back(
          {weightOf(Workspace, Each.Seed_), {Name, Each.IsRunning_}});
  const std::size_t Count = std::min(MaxShareholders, Ranked.size());
  std::partial_sort(Ranked.begin(),
                    Ranked.begin() + static_cast<std::ptrdiff_t>(Count),
                    Ranked.end(), [](const auto &Left, const auto &Right) {
                      return std::tie(Right.first, Right.second.Name_) <
                             std::tie(Left.first, Left.second.Name_);
                    });
  std::vector<Shareholder> Found;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Found.push_back(std::move(Ranked[Index].second));
  return Found;
}

Instant MemberView::shareStart(const WorkspaceName &Workspace) const {
  Instant Start = StartedAt_.value_or(Now_) + StartDelay;
  const std::uint64_t Own = selfWeight(Workspace);
  std::size_t Ahead = 0;
  Instant LastRemoval = Start;
  for (const auto &[Name, Each] : Members_) {
    if (weightOf(Workspace, Each.Seed_) <= Own)
      continue;
    ++Ahead;
    if (!Each.IsRunning_)
      LastRemoval =
          std::max(LastRemoval, Each.RemovedAt_.value_or(Now_) + RemovalDelay);
  }
  return Ahead < MaxShareholders ? Start : LastRemoval;
}

double MemberView::fraction() const {
  return std::min(1.0, FleetSlack * static_cast<double>(RunningCount_) /
                           static_cast<double>(LargestCount_));
}

FleetSize MemberView::fleetSize() const {
  return {LargestCount_, Now_ - LargestAt_};
}

void MemberView::learnFleetSize(const FleetSize &Size) {
  if (Size.Count_ <= LargestCount_ || Size.Age_ >= FleetMemory)
    return;
  LargestCount_ = Size.Count_;
  LargestAt_ = Now_ - Size.Age_;
}

std::size_t MemberView::reserve(const WorkspaceName &Workspace) const {
  // A restarted instance knows neither the fleet nor what it admitted before.
  if (!StartedAt_ || Now_ < *StartedAt_ + StartDelay + Settings_.Window_)
    return 0;
  const double Total = ReserveFraction * Settings_.Tolerance_ *
                       std::min(1.0, fraction() / FleetSlack);
  const std::size_t Fleet = std::max(KnownCount_, LargestCount_);
  const double Each = Total / static_cast<double>(Fleet);
  if (Each >= 1)
    return static_cast<std::size_t>(Each);
  return static_cast<double>(countAhead(Workspace) + 1) <= Total ? 1 : 0;
}

bool MemberView::isSuspected(const InstanceName &Name) const {
  return ProbedAt_.contains(Name);
}

void MemberView::suspect(const InstanceName &Name, Instant Now) {
  if (Name != Settings_.Self_)
    ProbedAt_.try_emplace(Name, Now);
}

void MemberView::clearSuspicion(const InstanceName &Name) {
  ProbedAt_.erase(Name);
}

bool MemberView::takeProbe(const InstanceName &Name, Instant Now) {
  const auto Found = ProbedAt_.find(Name);
  if (Found == ProbedAt_.end() || Now < Found->second + ProbeInterval)
    return false;
  Found->second = Now;
  return true;
}

std::uint64_t MemberView::selfWeight(const WorkspaceName &Workspace) const {
  return weightOf(Workspace, SelfSeed_);
}

std::size_t MemberView::countAhead(const WorkspaceName &Workspace) const {
  const std::uint64_t Own = selfWeight(Workspace);
  return static_cast<std::size_t>(
      std::count_if(Members_.begin(), Members_.end(), [&](const auto &Each) {
        return weightOf(Workspace, Each.second.Seed_) > Own;
      }));
}

} // namespace cranberryspool::quotas
