#include "fleet/internal/targetshares.h"
#include "fleet/internal/timing.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

framework::Duration longestDeadline(const document::Service &Service) {
  framework::Duration Longest{};
  for (const document::RequestKind &Kind : Service.Kinds_)
    Longest = std::max(Longest, Kind.Deadline_);
  return Longest;
}

std::optional<framework::Instant>
startOf(const std::optional<OwnershipPeriod> &Item) {
  if (!Item)
    return std::nullopt;
  return Item->Since_;
}

using GroupServices = std::map<framework::GroupName, const document::Service *>;

GroupServices indexGroups(const document::EnvironmentDocument &Document) {
  GroupServices Index;
  for (const document::Service &Service : Document.Services_)
    for (const document::TargetGroup &Group : Service.Groups_)
      Index[Group.Name_] = &Service;
  return Index;
}

std::uint32_t fleetSize(const InstanceStore &List,
                        const document::EnvironmentDocument &Document) {
  const auto Listed = static_cast<std::uint32_t>(List.members().size());
  return std::max({Listed, Document.MaxInstances_, std::uint32_t{1}});
}

} // namespace

TargetShares::TargetShares(framework::InstanceName Self)
    : Ownership_(std::move(Self)) {}

void TargetShares::rebuild(const InstanceStore &List,
                           const document::EnvironmentDocument *Document,
                           framework::Instant Now) {
  if (List.membersDigest() != MembersDigest_) {
    MembersDigest_ = List.membersDigest();
    Ownership_.addMemberList(List.members(), MembersDigest_, List.revision());
    Ownership_.markEffective(Now);
  }
  std::map<framework::TargetName, Share> PreviousShares;
  PreviousShares.swap(Shares_);
  if (!Document)
    return;
  const std::uint32_t InstanceCount = fleetSize(List, *Document);
  const GroupServices Services = indexGroups(*Document);
  for (const document::PublishedInstance &Target : List.targets()) {
    const auto Found = Services.find(*Target.Group_);
    if (Found == Services.end())
      continue;
    const document::Service &Service = *Found->second;
    const framework::TargetName Name(Target.Name_.value());
    Share &NewShare = Shares_[Name];
    const std::uint32_t InFlightPerInstance =
        Service.ColdStart_.MaxInFlight_ / InstanceCount;
    NewShare.IsPerInstance_ = InFlightPerInstance > 0;
    NewShare.MaxInFlight_ = InFlightPerInstance > 0
                                ? InFlightPerInstance
                                : Service.ColdStart_.MaxInFlight_;
    NewShare.Connections_ = std::max(
        Service.ConnectionsPerTarget_ / InstanceCount, std::uint32_t{1});
    NewShare.ProbeSpacing_ = framework::Duration(std::chrono::minutes(1)) /
                             std::max(Service.ProbesPerTargetPerMinute_, 1U);
    NewShare.LongestCall_ = longestDeadline(Service);
    const auto Previous = PreviousShares.find(Name);
    if (Previous != PreviousShares.end())
      NewShare.ProbedAt_ = Previous->second.ProbedAt_;
  }
  refreshOwnership();
}

void TargetShares::refreshOwnership() {
  for (auto &[Name, TargetShare] : Shares_)
    TargetShare.OwnedSince_ = startOf(Ownership_.currentPeriod(Name.value()));
}

bool TargetShares::updateConfirmation(framework::Instant Until,
                                      framework::Instant Now) {
  const framework::Instant PreviousUpdateAt = LastUpdateAt_;
  const bool HasExpired = Now > ConfirmedUntil_;
  const bool IsConfirmed = Now <= Until;
  const bool IsChanged = WasConfirmed_ != IsConfirmed;
  ConfirmedUntil_ = Until;
  WasConfirmed_ = IsConfirmed;
  LastUpdateAt_ = Now;
  if (HasExpired) {
    Ownership_.invalidateOwnership();
    Ownership_.markEffective(Now);
    refreshOwnership();
  }
  if (IsChanged)
    return true;
  for (const auto &[Name, TargetShare] : Shares_) {
    if (!TargetShare.OwnedSince_)
      continue;
    const framework::Instant ActiveAt =
        *TargetShare.OwnedSince_ + TakeoverWait + TargetShare.LongestCall_;
    if (PreviousUpdateAt < ActiveAt && ActiveAt <= Now)
      return true;
  }
  return false;
}

std::uint32_t TargetShares::coldShare(const framework::TargetName &Target,
                                      framework::Instant Now) const {
  const auto Found = Shares_.find(Target);
  if (Found == Shares_.end())
    return 0;
  const Share &TargetShare = Found->second;
  if (TargetShare.IsPerInstance_)
    return TargetShare.MaxInFlight_;
  if (Now > ConfirmedUntil_ || !TargetShare.OwnedSince_)
    return 0;
  if (Now < *TargetShare.OwnedSince_ + TakeoverWait + TargetShare.LongestCall_)
    return 0;
  return TargetShare.MaxInFlight_;
}

std::uint32_t
TargetShares::connectionShare(const framework::TargetName &Target) const {
  const auto Found = Shares_.find(Target);
  return Found == Shares_.end() ? 1 : Found->second.Connections_;
}

bool TargetShares::mayProbe(const framework::TargetName &Target,
                            framework::Instant Now) const {
  const auto Found = Shares_.find(Target);
  if (Found == Shares_.end() || Now > ConfirmedUntil_)
    return false;
  const Share &TargetShare = Found->second;
  if (!TargetShare.OwnedSince_)
    return false;
  const framework::Instant EarliestProbe =
      *TargetShare.OwnedSince_ + TakeoverWait + TargetShare.ProbeSpacing_;
  return Now >= std::max(EarliestProbe,
                         TargetShare.ProbedAt_ + TargetShare.ProbeSpacing_);
}

void TargetShares::recordProbe(const framework::TargetName &Target,
                               framework::Instant Now) {
  const auto Found = Shares_.find(Target);
  if (Found != Shares_.end())
    Found->second.ProbedAt_ = Now;
}

} // namespace cranberryspool::fleet
