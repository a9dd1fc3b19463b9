#include "fleet/internal/peertable.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

/// The number of sent heartbeats that can still be acknowledged.
constexpr std::size_t MaxRememberedHeartbeats = 1'024;

/// The largest number of peers that are tracked.
constexpr std::size_t MaxPeers = 4'096;

} // namespace

PeerTable::PeerTable(framework::InstanceName Self,
                     framework::Incarnation Incarnation)
    : Self_(std::move(Self)), Incarnation_(Incarnation) {}

std::uint64_t PeerTable::nextSequence(framework::Instant Now) {
  Sent_.push_back(SentHeartbeat{++Sequence_, Now});
  if (Sent_.size() > MaxRememberedHeartbeats)
    Sent_.pop_front();
  return Sequence_;
}

bool PeerTable::acceptSender(const framework::InstanceName &From,
                             framework::Incarnation Incarnation,
                             const std::string &Address) {
  if (From == Self_) {
    if (Incarnation > Incarnation_)
      IsSuperseded_ = true;
    return false;
  }
  const auto Entry = Records_.find(From);
  if (Entry == Records_.end()) {
    if (Records_.size() >= MaxPeers)
      return false;
    PeerRecord &NewRecord = Records_[From];
    NewRecord.Incarnation_ = Incarnation;
    NewRecord.Address_ = Address;
    return true;
  }
  PeerRecord &Record = Entry->second;
  if (Incarnation < Record.Incarnation_)
    return false;
  if (Incarnation > Record.Incarnation_) {
    Record = PeerRecord{};
    Record.Incarnation_ = Incarnation;
  }
  Record.Address_ = Address;
  return true;
}

bool PeerTable::handleHeartbeat(const Heartbeat &Message) {
  if (!acceptSender(Message.From_, Message.Incarnation_, Message.Address_))
    return false;
  PeerRecord &Record = Records_[Message.From_];
  Record.Sequence_ = std::max(Record.Sequence_, Message.Sequence_);
  return true;
}

std::optional<framework::Instant>
PeerTable::handleAck(const HeartbeatAck &Message) {
  if (Message.NewestIncarnation_ > Incarnation_)
    IsSuperseded_ = true;
  if (Message.EchoIncarnation_ != Incarnation_)
    return std::nullopt;
  if (!acceptSender(Message.From_, Message.Incarnation_, Message.Address_))
    return std::nullopt;
  const auto Sent =
      std::lower_bound(Sent_.begin(), Sent_.end(), Message.EchoSequence_,
                       [](const SentHeartbeat &Item, std::uint64_t Sequence) {
                         return Item.Sequence_ < Sequence;
                       });
  if (Sent == Sent_.end() || Sent->Sequence_ != Message.EchoSequence_)
    return std::nullopt;
  PeerRecord &Record = Records_[Message.From_];
  if (!Record.AckedHeartbeatSentAt_ ||
      Sent->At_ >= *Record.AckedHeartbeatSentAt_) {
    Record.AckedHeartbeatSentAt_ = Sent->At_;
    Record.View_ = Message.View_;
  }
  return Sent->At_;
}

framework::Incarnation
PeerTable::newestIncarnation(const framework::InstanceName &Name) const {
  const PeerRecord *Record = find(Name);
  return Record ? Record->Incarnation_ : framework::Incarnation{};
}

const PeerRecord *PeerTable::find(const framework::InstanceName &Name) const {
  const auto Entry = Records_.find(Name);
  return Entry == Records_.end() ? nullptr : &Entry->second;
}

bool PeerTable::hasAckedSince(const framework::InstanceName &Name,
                              framework::Instant Since) const {
  const PeerRecord *Record = find(Name);
  return Record && Record->AckedHeartbeatSentAt_ &&
         *Record->AckedHeartbeatSentAt_ >= Since;
}

} // namespace cranberryspool::fleet
