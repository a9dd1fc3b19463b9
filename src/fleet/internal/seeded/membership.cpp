#include "fleet/internal/seeded/membership.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

bool Membership::mergeMember(const MemberInfo &Reported, bool IsAdmitted,
                             framework::Instant LastSeenAt) {
  if (Reported.Name_ == Self_.Name_)
    return false;
  const auto Position = Members_.find(Reported.Name_);
  if (Position == Members_.end()) {
    Members_.emplace(Reported.Name_, MemberState{.Info_ = Reported,
                                                 .LastSeenAt_ = LastSeenAt,
                                                 .IsAdmitted_ = IsAdmitted});
    ++Version_;
    return true;
  }
  MemberState &State = Position->second;
  if (Reported.Incarnation_ < State.Info_.Incarnation_)
    return false;
  const bool IsNewer = Reported.Incarnation_ > State.Info_.Incarnation_;
  if (IsNewer || (IsAdmitted && !State.IsAdmitted_)) {
    State.IsAdmitted_ = IsAdmitted;
    ++Version_;
  }
  if (!IsNewer && LastSeenAt <= State.LastSeenAt_)
    return false;
  const bool HasJoined = IsNewer || State.IsLost_;
  State.Info_ = Reported;
  State.LastSeenAt_ = LastSeenAt;
  State.IsStopping_ = State.IsStopping_ && !IsNewer;
  return HasJoined;
}

Membership::MergeResult Membership::merge(const GossipMessage &Message,
                                          framework::Instant Now,
                                          bool IsSenderAdmitted) {
  MergeResult Result;
  for (std::size_t Index = 0; Index < Message.Members_.size(); ++Index) {
    const MemberInfo &Reported = Message.Members_[Index];
    const framework::Instant LastSeenAt =
        Now - (Index == 0 ? framework::Duration{} : Reported.Age_);
    const bool WasAdmitted = isAdmitted(Reported.Name_, Reported.Incarnation_);
    const bool HasJoined = mergeMember(Reported, IsSenderAdmitted, LastSeenAt);
    const auto Position = Members_.find(Reported.Name_);
    if (Position == Members_.end())
      continue;
    if (!WasAdmitted && isAdmitted(Reported.Name_, Reported.Incarnation_))
      Result.Admitted_.push_back(Reported.Name_);
    MemberState &State = Position->second;
    if (State.IsLost_ && Now - State.LastSeenAt_ < lostTimeout()) {
      State.IsLost_ = false;
      ++Version_;
    }
    if (Index > 0)
      continue;
    Result.HasSenderJoined_ = HasJoined;
    if (State.Info_.Incarnation_ != Reported.Incarnation_ ||
        State.IsStopping_ == Message.IsStopping_)
      continue;
    State.IsStopping_ = Message.IsStopping_;
    ++Version_;
  }
  return Result;
}

void Membership::admit(const MemberInfo &Member, framework::Instant Now) {
  if (Member.Name_ == Self_.Name_ ||
      isSucceeded(Member.Name_, Member.Incarnation_))
    return;
  MemberState &State = Members_[Member.Name_];
  if (State.Info_.Incarnation_ != Member.Incarnation_)
    State.IsStopping_ = false;
  State.Info_ = Member;
  State.LastSeenAt_ = Now;
  State.IsLost_ = false;
  State.IsAdmitted_ = true;
  ++Version_;
}

void Membership::remove(const framework::InstanceName &Name) {
  Version_ += Members_.erase(Name);
}

void Membership::withdrawAdmissions() {
  for (auto &[Name, State] : Members_)
    State.IsAdmitted_ = false;
  ++Version_;
}

const Membership::MemberState *
Membership::find(const framework::InstanceName &Name,
                 framework::Incarnation Incarnation) const {
  const auto Found = Members_.find(Name);
  if (Found == Members_.end() ||
      Found->second.Info_.Incarnation_ != Incarnation)
    return nullptr;
  return &Found->second;
}

bool Membership::isAdmitted(const framework::InstanceName &Name,
                            framework::Incarnation Incarnation) const {
  const MemberState *Member = find(Name, Incarnation);
  return Member && Member->IsAdmitted_;
}

bool Membership::isSucceeded(const framework::InstanceName &Name,
                             framework::Incarnation Incarnation) const {
  const auto Found = Members_.find(Name);
  return Found != Members_.end() && Found->second.IsAdmitted_ &&
         Found->second.Info_.Incarnation_ > Incarnation;
}

std::size_t Membership::admittedCount() const {
  return static_cast<std::size_t>(
      std::count_if(Members_.begin(), Members_.end(),
                    [](const auto &Each) { return Each.second.IsAdmitted_; }));
}

void Membership::recordActivity(const framework::InstanceName &Name,
                                framework::Incarnation Incarnation,
                                framework::Instant Now) {
  const auto State = Members_.find(Name);
  if (State == Members_.end() || State->second.IsLost_ ||
      State->second.Info_.Incarnation_ != Incarnation)
    return;
  State->second.LastSeenAt_ = std::max(State->second.LastSeenAt_, Now);
}

std::vector<framework::InstanceName>
Membership::expire(framework::Instant Now) {
  std::vector<framework::InstanceName> Lost;
  for (auto &[Name, State] : Members_) {
    if (State.IsLost_ || Now - State.LastSeenAt_ < lostTimeout())
      continue;
    State.IsLost_ = true;
    Lost.push_back(Name);
  }
  const std::size_t Forgotten = std::erase_if(Members_, [&](const auto &Each) {
    return Now - Each.second.LastSeenAt_ > RetentionPeriod;
  });
  Version_ += Lost.size() + Forgotten;
  return Lost;
}

framework::Duration Membership::lostTimeout() const {
  return std::clamp(LostTimeoutPerMember *
                        static_cast<framework::Duration::rep>(knownCount()),
                    MinLostTimeout, MaxLostTimeout);
}

std::size_t Membership::runningCount() const {
  const auto Running =
      std::count_if(Members_.begin(), Members_.end(), [](const auto &Each) {
        return !Each.second.IsLost_ && !Each.second.IsStopping_;
      });
  return static_cast<std::size_t>(Running) + 1;
}

std::size_t Membership::knownCount() const { return Members_.size() + 1; }

std::vector<MemberInfo> Membership::sample(std::size_t Limit,
                                           bool IsAdmissionRequired,
                                           framework::Instant Now,
                                           framework::Random &Rng) const {
  std::vector<const MemberState *> Reachable;
  for (const auto &[Name, State] : Members_)
    if (!State.IsLost_ && (State.IsAdmitted_ || !IsAdmissionRequired))
      Reachable.push_back(&State);
  std::vector<MemberInfo> Chosen{Self_};
  const std::size_t Count = std::min(Limit, Reachable.size());
  for (std::size_t Index = 0; Index < Count; ++Index) {
    std::swap(Reachable[Index],
              Reachable[Index + Rng.index(Reachable.size() - Index)]);
    Chosen.push_back(Reachable[Index]->Info_);
    Chosen.back().Age_ = Now - Reachable[Index]->LastSeenAt_;
  }
  return Chosen;
}

} // namespace cranberryspool::fleet
