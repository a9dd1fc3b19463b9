#include "fleet/internal/fleetstate.h"
#include "fleet/internal/timing.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

/// Heartbeats in a round; the traffic of an instance does not grow with the
/// fleet.
constexpr std::size_t RoundSize = 4;

/// Heartbeats in a round after a change of the members.
constexpr std::size_t SettlingRoundSize = 16;

/// While the platform is out of reach, a round covers one in this many peers.
constexpr std::size_t PeersPerUrgentRound = 6;

/// Peers that are told at once of something new.
constexpr std::size_t PushSize = 4;

/// A peer without an answer for this long counts as lost.
constexpr framework::Duration LostAfter = std::chrono::seconds(10);

} // namespace

PeerView FleetState::view(framework::Instant Now) const {
  PeerView View;
  View.DocumentRevision_ = Documents_.revision();
  View.DocumentAge_ = DocumentConfirmed_.age(Now);
  View.ListRevision_ = Instances_.revision();
  View.ListAge_ = ListConfirmed_.age(Now);
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
  Message.Cold_ = Cold_.recent(Now);
  Message.IsWarmthWanted_ = Warm_.size() < Instances_.targets().size();
  Output.push_back(SendMessage{PeerAddress, std::move(Message)});
}

bool FleetState::isUrgent(framework::Instant Now) const {
  const auto DocumentAge = DocumentConfirmed_.age(Now);
  const auto ListAge = ListConfirmed_.age(Now);
  if (!DocumentAge || !ListAge)
    return true;
  const framework::Duration Age = std::max(*DocumentAge, *ListAge);
  return Age > SuspicionAge && Age < 2 * FreshBound;
}

std::size_t FleetState::roundSize(framework::Instant Now) const {
  const std::size_t Listed = Instances_.members().size();
  if (isStarting())
    return Listed;
  if (KeyHome_.isSettling(Now))
    return SettlingRoundSize;
  const auto DocumentAge = DocumentConfirmed_.age(Now);
  const auto ListAge = ListConfirmed_.age(Now);
  const bool IsConfirmed = DocumentAge && ListAge &&
                           std::max(*DocumentAge, *ListAge) <= SuspicionAge;
  if (IsConfirmed)
    return RoundSize;
  return std::max(RoundSize,
                  (Listed + PeersPerUrgentRound - 1) / PeersPerUrgentRound);
}

const std::string *FleetState::nextPeer() {
  if (NextInRotation_ >= Rotation_.size()) {
    Rotation_.clear();
    for (const document::PublishedInstance &Member : Instances_.members()) {
      if (Member.Name_ != Settings_.Self_)
        Rotation_.push_back(Member.Address_);
    }
    for (std::size_t Left = Rotation_.size(); Left > 1; --Left)
      std::swap(Rotation_[Left - 1], Rotation_[Rng_.index(Left)]);
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

void FleetState::sendRound(framework::Instant Now, OutputList &Output) {
  NextRoundAt_ =
      Now + (isUrgent(Now) ? UrgentHeartbeatInterval : HeartbeatInterval);
  std::size_t Left = std::min(roundSize(Now), Instances_.members().size());
  if (const std::string *Reader = isStarting() ? nullptr : nextReader()) {
    sendHeartbeat(*Reader, Now, Output);
    --Left;
  }
  for (; Left > 0; --Left) {
    const std::string *Peer = nextPeer();
    if (!Peer)
      break;
    sendHeartbeat(*Peer, Now, Output);
  }
  for (auto &[Name, Peer] : Peers_.records()) {
    if (!Peer.IsHeard_ || !Peer.AskedAt_ || Now - *Peer.AskedAt_ < LostAfter)
      continue;
    Peer.IsHeard_ = false;
    Output.push_back(PeerReachabilityChanged{Name, false});
  }
}

void FleetState::pushNews(framework::Instant Now, OutputList &Output) {
  for (std::size_t Count = 0; Count < PushSize; ++Count) {
    const std::string *Peer = nextPeer();
    if (!Peer)
      return;
    sendHeartbeat(*Peer, Now, Output);
  }
}

} // namespace cranberryspool::fleet
