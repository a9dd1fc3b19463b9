#include "fleet/internal/fleetstate.h"
#include "fleet/internal/timing.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

/// Heartbeats per round. The number is fixed so that the traffic of an instance
/// does not grow with the fleet.
constexpr std::size_t HeartbeatsPerRound = 4;

/// Heartbeats per round after a change of the members.
constexpr std::size_t HeartbeatsPerConvergenceRound = 16;

/// While confirmations from the platform are overdue, an instance sends one
/// heartbeat per round for this many peers.
constexpr std::size_t PeersPerOverdueHeartbeat = 6;

/// The number of peers that are notified immediately of an update.
constexpr std::size_t PushFanout = 4;

/// A peer that has acknowledged no heartbeat for this long is considered lost.
constexpr framework::Duration PeerLossTimeout = std::chrono::seconds(10);

} // namespace

PeerView FleetState::view(framework::Instant Now) const {
  PeerView View;
  View.DocumentRevision_ = Documents_.revision();
  View.DocumentAge_ = DocumentConfirmation_.age(Now);
  View.ListRevision_ = Instances_.revision();
  View.ListAge_ = ListConfirmation_.age(Now);
  View.MembersDigest_ = Instances_.membersDigest();
  return View;
}

void FleetState::sendHeartbeat(const std::string &PeerAddress,
                               framework::Instant Now, OutputList &Output) {
  Heartbeat Message;
  Message.From_ = Settings_.Self_;
  Message.Incarnation_ = Settings_.Incarnation_;
  Message.Sequence_ = Peers_.nextSequence(Now);
  Message.Address_ = Settings_.Address_;
  Message.View_ = view(Now);
  Message.RestartNotices_ = RestartNotices_.recent(Now);
  Message.IsWarmStateRequested_ =
      WarmTargets_.size() < Instances_.targets().size();
  Output.push_back(SendMessage{PeerAddress, std::move(Message)});
}

bool FleetState::isConfirmationOverdue(framework::Instant Now) const {
  const auto DocumentAge = DocumentConfirmation_.age(Now);
  const auto ListAge = ListConfirmation_.age(Now);
  if (!DocumentAge || !ListAge)
    return true;
  const framework::Duration Age = std::max(*DocumentAge, *ListAge);
  return Age > ConfirmationOverdueAge && Age < 2 * MaxConfirmationAge;
}

std::size_t FleetState::heartbeatsPerRound(framework::Instant Now) const {
  const std::size_t MemberCount = Instances_.members().size();
  if (isStarting())
    return MemberCount;
  if (KeyAdmission_.isConverging(Now))
    return HeartbeatsPerConvergenceRound;
  const auto DocumentAge = DocumentConfirmation_.age(Now);
  const auto ListAge = ListConfirmation_.age(Now);
  const bool IsConfirmed =
      DocumentAge && ListAge &&
      std::max(*DocumentAge, *ListAge) <= ConfirmationOverdueAge;
  if (IsConfirmed)
    return HeartbeatsPerRound;
  return std::max(HeartbeatsPerRound,
                  (MemberCount + PeersPerOverdueHeartbeat - 1) /
                      PeersPerOverdueHeartbeat);
}

const std::string *FleetState::nextPeer() {
  if (NextInRotation_ >= Rotation_.size()) {
    Rotation_.clear();
    for (const document::PublishedInstance &Member : Instances_.members()) {
      if (Member.Name_ != Settings_.Self_)
        Rotation_.push_back(Member.Address_);
    }
    for (std::size_t Remaining = Rotation_.size(); Remaining > 1; --Remaining)
      std::swap(Rotation_[Remaining - 1], Rotation_[Rng_.index(Remaining)]);
    NextInRotation_ = 0;
  }
  if (Rotation_.empty())
    return nullptr;
  return &Rotation_[NextInRotation_++];
}

const std::string *FleetState::nextReader() {
  const std::vector<framework::InstanceName> &Names = Readers_.names();
  const std::size_t Count = Readers_.readerCount();
  if (Count == 0 || Readers_.position(Settings_.Self_) < Count)
    return nullptr;
  const framework::InstanceName &Name = Names[NextReader_++ % Count];
  for (const document::PublishedInstance &Member : Instances_.members()) {
    if (Member.Name_ == Name)
      return &Member.Address_;
  }
  return nullptr;
}

void FleetState::sendHeartbeatRound(framework::Instant Now,
                                    OutputList &Output) {
  NextRoundAt_ = Now + (isConfirmationOverdue(Now) ? OverdueHeartbeatInterval
                                                   : HeartbeatInterval);
  std::size_t Remaining =
      std::min(heartbeatsPerRound(Now), Instances_.members().size());
  if (const std::string *Reader = isStarting() ? nullptr : nextReader()) {
    sendHeartbeat(*Reader, Now, Output);
    --Remaining;
  }
  for (; Remaining > 0; --Remaining) {
    const std::string *Peer = nextPeer();
    if (!Peer)
      break;
    sendHeartbeat(*Peer, Now, Output);
  }
  for (auto &[Name, Peer] : Peers_.records()) {
    if (!Peer.IsReachable_ || !Peer.AckedHeartbeatSentAt_ ||
        Now - *Peer.AckedHeartbeatSentAt_ < PeerLossTimeout)
      continue;
    Peer.IsReachable_ = false;
    Output.push_back(PeerReachabilityChanged{Name, false});
  }
}

void FleetState::pushUpdate(framework::Instant Now, OutputList &Output) {
  for (std::size_t Count = 0; Count < PushFanout; ++Count) {
    const std::string *Peer = nextPeer();
    if (!Peer)
      return;
    sendHeartbeat(*Peer, Now, Output);
  }
}

} // namespace cranberryspool::fleet
