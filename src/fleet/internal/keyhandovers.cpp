#include "fleet/internal/keyhandovers.h"
#include "fleet/internal/parsedkey.h"
#include "fleet/internal/rendezvous.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

/// The number of records per message, so that a message fits into a datagram.
constexpr std::size_t RecordsPerPart = 8;

/// The number of parts that are sent to one receiver at a time.
constexpr std::size_t PartsInFlight = 64;

constexpr framework::Duration ResendInterval = std::chrono::milliseconds(100);
constexpr framework::Duration HandoverTimeout = std::chrono::seconds(10);

/// The largest number of parts that a receiver accepts for one handover.
constexpr std::uint32_t MaxParts = 1U << 16;

/// The number of senders whose incoming handovers are tracked.
constexpr std::size_t MaxIncomingTransfers = 256;

using MemberList = std::vector<document::PublishedInstance>;

bool isActive(const MemberList &Members, const framework::InstanceName &Name) {
  return std::any_of(Members.begin(), Members.end(),
                     [&](const document::PublishedInstance &Member) {
                       return Member.Name_ == Name && !Member.IsLeaving_;
                     });
}

std::map<std::uint32_t, std::vector<KeyRecord>>
splitParts(std::vector<KeyRecord> Records) {
  std::map<std::uint32_t, std::vector<KeyRecord>> Parts;
  Parts[0] = {};
  for (std::size_t Index = 0; Index < Records.size(); ++Index)
    Parts[static_cast<std::uint32_t>(Index / RecordsPerPart)].push_back(
        std::move(Records[Index]));
  return Parts;
}

} // namespace

KeyHandovers::KeyHandovers(framework::InstanceName Self,
                           framework::Incarnation Incarnation,
                           std::string Address)
    : Self_(std::move(Self)), Incarnation_(Incarnation),
      Address_(std::move(Address)) {}

void KeyHandovers::begin(const MemberList &Before, const InstanceStore &List,
                         KeyTable &Table,
                         std::optional<framework::WallTime> KnownSince,
                         framework::Instant Now) {
  const MemberList &After = List.members();
  const bool IsLeaving = isActive(Before, Self_) && !isActive(After, Self_);
  Outgoing_.clear();
  for (const document::PublishedInstance &Member : After) {
    if (Member.IsLeaving_ || Member.Name_ == Self_)
      continue;
    if (!IsLeaving && isActive(Before, Member.Name_))
      continue;
    const auto Moved =
        Table.extractIf([&](const framework::IdempotencyKey &Key) {
          const document::PublishedInstance *Owner =
              findOwner(Key.value(), After);
          return Owner && Owner->Name_ == Member.Name_;
        });
    Transfer &Outgoing = Outgoing_[Member.Name_];
    Outgoing.Address_ = Member.Address_;
    Outgoing.Members_ = List.membersDigest();
    Outgoing.ListRevision_ = List.revision();
    Outgoing.KnownSince_ = KnownSince;
    Outgoing.Unacknowledged_ = splitParts(Moved);
    Outgoing.Parts_ =
        static_cast<std::uint32_t>(Outgoing.Unacknowledged_.size());
    Outgoing.NextAt_ = Now;
    Outgoing.Deadline_ = Now + HandoverTimeout;
  }
}

void KeyHandovers::tick(const PeerTable &Peers, framework::Instant Now,
                        OutputList &Output) {
  std::erase_if(Outgoing_, [&](const auto &Item) {
    return Item.second.Unacknowledged_.empty() || Now > Item.second.Deadline_;
  });
  for (auto &[Name, Outgoing] : Outgoing_) {
    const framework::Incarnation ReceiverIncarnation =
        Peers.newestIncarnation(Name);
    if (Now < Outgoing.NextAt_ ||
        ReceiverIncarnation == framework::Incarnation{})
      continue;
    Outgoing.NextAt_ = Now + ResendInterval;
    std::size_t Count = 0;
    for (const auto &[Part, Records] : Outgoing.Unacknowledged_) {
      if (++Count > PartsInFlight)
        break;
      Output.push_back(SendMessage{
          Outgoing.Address_,
          KeyHandover{Self_, Incarnation_, Address_, ReceiverIncarnation,
                      Outgoing.Members_, Outgoing.ListRevision_, Part,
                      Outgoing.Parts_, Outgoing.KnownSince_, Records}});
    }
  }
}

void KeyHandovers::handleAck(const KeyHandoverAck &Message) {
  if (Message.EchoIncarnation_ != Incarnation_)
    return;
  const auto Found = Outgoing_.find(Message.From_);
  if (Found == Outgoing_.end() ||
      Found->second.Members_ != Message.MembersDigest_)
    return;
  Found->second.Unacknowledged_.erase(Message.Part_);
  Found->second.NextAt_ = framework::Instant{};
}

void KeyHandovers::receive(const KeyHandover &Message, KeyTable &Table,
                           KeyOwnership &Ownership, OutputList &Output) {
  if (Message.ToIncarnation_ != Incarnation_ || Message.Parts_ > MaxParts ||
      Message.Part_ >= Message.Parts_)
    return;
  for (const KeyRecord &Record : Message.Records_) {
    const auto Key = parseKey(Record.Key_);
    if (Key && !Table.add(Record, Key->Time_))
      return;
  }
  Output.push_back(SendMessage{
      Message.Address_, KeyHandoverAck{Self_, Message.Incarnation_,
                                       Message.MembersDigest_, Message.Part_}});
  if (!Incoming_.contains(Message.From_) &&
      Incoming_.size() >= MaxIncomingTransfers)
    return;
  Incoming &Progress = Incoming_[Message.From_];
  const bool IsOtherTransfer = Progress.Incarnation_ != Message.Incarnation_ ||
                               Progress.Members_ != Message.MembersDigest_ ||
                               Progress.ListRevision_ != Message.ListRevision_;
  if (IsOtherTransfer)
    Progress = Incoming{Message.Incarnation_,
                        Message.MembersDigest_,
                        Message.ListRevision_,
                        {}};
  const bool IsNew = Progress.Received_.insert(Message.Part_).second;
  if (IsNew && Progress.Received_.size() == Message.Parts_ &&
      Message.KnownSince_)
    Ownership.recordHandover(Message.From_, Message.MembersDigest_,
                             Message.ListRevision_, *Message.KnownSince_);
}

} // namespace cranberryspool::fleet
