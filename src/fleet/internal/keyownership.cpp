#include "fleet/internal/keyownership.h"
#include "fleet/internal/keytiming.h"
#include "fleet/internal/rendezvous.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace cranberryspool::fleet {

namespace {

/// The number of handovers that are remembered. Forgetting one only means that
/// unknown keys are refused for longer.
constexpr std::size_t MaxHandovers = 256;

/// Returns until when this instance has a majority: the time of the oldest
/// acknowledgement that the majority needs, plus the majority window. Returns
/// the earliest possible time when there is no majority.
framework::Instant
majorityUntil(const std::vector<document::PublishedInstance> &Members,
              const framework::InstanceName &Self, const PeerTable &Peers,
              const std::function<bool(const PeerView &)> &IsSupporting) {
  std::size_t MemberCount = 0;
  std::size_t SelfCount = 0;
  std::vector<framework::Instant> AckTimes;
  for (const document::PublishedInstance &Member : Members) {
    if (Member.IsLeaving_)
      continue;
    ++MemberCount;
    if (Member.Name_ == Self) {
      SelfCount = 1;
      continue;
    }
    const PeerRecord *Peer = Peers.find(Member.Name_);
    if (Peer && Peer->AckedHeartbeatSentAt_ && IsSupporting(Peer->View_))
      AckTimes.push_back(*Peer->AckedHeartbeatSentAt_);
  }
  if (MemberCount == 0)
    return framework::Instant::min();
  const std::size_t NeededAcks = MemberCount / 2 + 1 - SelfCount;
  if (NeededAcks == 0)
    return framework::Instant::max();
  if (AckTimes.size() < NeededAcks)
    return framework::Instant::min();
  std::nth_element(AckTimes.begin(), AckTimes.begin() + (NeededAcks - 1),
                   AckTimes.end(), std::greater<>());
  return AckTimes[NeededAcks - 1] + majorityWindow(MemberCount);
}

} // namespace

KeyOwnership::KeyOwnership(framework::InstanceName Self)
    : Self_(Self), History_(std::move(Self)) {}

void KeyOwnership::update(const InstanceStore &List, const PeerTable &Peers,
                          framework::Instant Now) {
  if (!List.hasValue())
    return;
  if (List.membersDigest() != CurrentDigest_) {
    CurrentDigest_ = List.membersDigest();
    Members_ = List.members();
    FleetSize_ = std::max<std::size_t>(Members_.size(), 1);
    MembersChangedAt_ = Now;
    History_.addMemberList(Members_, CurrentDigest_, ListRevision_);
  }
  ListRevision_ = List.revision();
  if (Now > MajorityUntil_)
    History_.invalidateOwnership();
  MajorityUntil_ =
      majorityUntil(List.members(), Self_, Peers, [this](const PeerView &View) {
        return History_.isKnown(View.MembersDigest_);
      });
  if (History_.isEffective())
    return;
  const framework::Instant CurrentMajorityUntil =
      majorityUntil(List.members(), Self_, Peers, [this](const PeerView &View) {
        return View.MembersDigest_ == CurrentDigest_;
      });
  if (Now <= CurrentMajorityUntil)
    History_.markEffective(Now);
}

void KeyOwnership::recordHandover(const framework::InstanceName &From,
                                  framework::Digest Members,
                                  framework::Revision Revision,
                                  framework::WallTime KnownSince) {
  Handovers_.push_back(Handover{From, Members, Revision, KnownSince});
  if (Handovers_.size() > MaxHandovers)
    Handovers_.pop_front();
}

const KeyOwnership::Handover *
KeyOwnership::findHandover(const OwnershipPeriod &Period) const {
  if (!Period.Digest_)
    return nullptr;
  for (const Handover &Candidate : Handovers_) {
    if (Candidate.Members_ == *Period.Digest_ &&
        Candidate.From_ == Period.PreviousOwner_ &&
        Candidate.Revision_ > Period.PreviousRevision_)
      return &Candidate;
  }
  return nullptr;
}

framework::WallTime
KeyOwnership::estimateKnownSince(const OwnershipPeriod &Period,
                                 framework::Moment Now) const {
  const framework::Duration OwnedFor = Now.Monotonic_ - Period.Since_;
  return Now.Wall_ - OwnedFor + keyTakeoverWait(FleetSize_) + KeyClockSkew;
}

std::optional<framework::WallTime>
KeyOwnership::knownSince(const framework::IdempotencyKey &Key,
                         framework::Moment Now) const {
  if (!hasMajority(Now.Monotonic_))
    return std::nullopt;
  const document::PublishedInstance *Owner = findOwner(Key.value(), Members_);
  if (!Owner || Owner->Name_ != Self_)
    return std::nullopt;
  const auto Period = History_.currentPeriod(Key.value());
  if (!Period)
    return std::nullopt;
  if (const Handover *Received = findHandover(*Period))
    return Received->KnownSince_;
  if (Now.Monotonic_ < Period->Since_ + keyTakeoverWait(FleetSize_))
    return std::nullopt;
  return estimateKnownSince(*Period, Now);
}

bool KeyOwnership::isConverging(framework::Instant Now) const {
  return !History_.isEffective() &&
         Now < MembersChangedAt_ + KeyConvergenceTime;
}

bool KeyOwnership::isTakingOver(const framework::IdempotencyKey &Key,
                                framework::Instant Now) const {
  const document::PublishedInstance *Owner = findOwner(Key.value(), Members_);
  const bool IsOwner = Owner && Owner->Name_ == Self_;
  return IsOwner && hasMajority(Now) &&
         Now < MembersChangedAt_ + KeyConvergenceTime;
}

std::optional<framework::WallTime>
KeyOwnership::latestKnownSince(framework::Moment Now) const {
  if (!History_.isEffective() || !hasMajority(Now.Monotonic_))
    return std::nullopt;
  framework::WallTime Latest{};
  for (const OwnershipPeriod &Period : History_.allPeriods()) {
    const Handover *Received = findHandover(Period);
    Latest = std::max(Latest, Received ? Received->KnownSince_
                                       : estimateKnownSince(Period, Now));
  }
  return Latest;
}

} // namespace cranberryspool::fleet
