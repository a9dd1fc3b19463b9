// Requests between instances for changes of the platform's metadata store.

#include "fleet/internal/seeded/storereplicator.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace cranberryspool::fleet {

namespace {

using framework::Duration;
using framework::Instant;
using framework::Revision;
using std::chrono::milliseconds;

/// Another instance is asked when a read of the store takes longer than this.
constexpr Duration ReadPatience = milliseconds(150);
/// While nothing newer is known to exist and the store answers nobody, the
/// delay between requests grows up to this.
constexpr Duration MaxRequestDelay = milliseconds(600);
/// The view is not sent to an instance whose view it would make younger by
/// less.
constexpr Duration MinAgeGain = milliseconds(200);
/// Group leaders send updates each 200 ms, and a zone's leader to them. An
/// instance that hears nothing for this long asks another one; if it is a
/// member, over a connection, as datagrams may be lost.
constexpr Duration MaxSilence = milliseconds(500);
/// An answer to a watch arrives this long after its wait at the latest.
constexpr Duration WatchReturnTime = milliseconds(100);
/// Updates of an instance that was asked may be answers for this long.
constexpr Duration AnswerPeriod = milliseconds(500);
/// After a request without an answer, others are sent over connections for this
/// long.
constexpr Duration ConnectionPeriod = milliseconds(2000);

} // namespace

bool StoreReplicator::isHelpNeeded(const EventContext &Context) const {
  if (!View_.isLoaded() || isSettling(Context.Now_))
    return false;
  // Another instance may know that there was no outage.
  if (View_.outages().isRecovering(Context.Now_))
    return true;
  if (areUpdatesOverdue(Context.Now_))
    return true;
  const bool IsBehind = IsRestMissing_ || isBehind(Context.Now_);
  const bool IsDependent = isDependentOnOthers(Context.Now_);
  if (!IsBehind && !IsDependent && !isViewTooOld(Context))
    return false;
  if (const auto Oldest = Reads_.oldestStart(); Oldest && !IsDependent)
    return Context.Now_ >= *Oldest + ReadPatience;
  return IsBehind || IsDependent || Context.Now_ < NextReadAt_;
}

bool StoreReplicator::areUpdatesOverdue(Instant Now) const {
  // The store holds a watch while nothing changes.
  const bool IsWatchHeld =
      Reads_.isWatchOpen() &&
      Now < AnswerReceivedAt_ + Timing_.MaxWatchWait_ + WatchReturnTime;
  return !IsWatchHeld &&
         Now >= std::max(HeardAt_, AnswerReceivedAt_) + MaxSilence;
}

bool StoreReplicator::isDependentOnOthers(framework::Instant Now) const {
  const auto Age = View_.age(Now);
  return Failures_ > 0 && Age && *Age > Timing_.MaxViewAgeWhileLate_;
}

Transport StoreReplicator::chooseTransport(const MemberInfo &Source,
                                           const EventContext &Context) {
  if (!IsLastRequestAnswered_)
    ConnectionsUntil_ = Context.Now_ + ConnectionPeriod;
  // A group leader is sent no updates unless it asks.
  const bool AreUpdatesArriving =
      Context.isGroupLeader() || Context.Now_ < HeardAt_ + MaxSilence;
  const bool WereDatagramsLost =
      std::exchange(AreDatagramsLost_,
                    Context.Now_ < ConnectionsUntil_ || !AreUpdatesArriving);
  if (AreDatagramsLost_ && !WereDatagramsLost)
    reportLostDatagrams(Source, Context);
  return AreDatagramsLost_ ? Transport::Connection : Transport::Datagram;
}

bool StoreReplicator::isAnswerExpected(const framework::InstanceName &From,
                                       framework::Instant Now) const {
  return Asked_ && Asked_->Name_ == From && Now < AskedAt_ + AnswerPeriod;
}

void StoreReplicator::recordHeard(const framework::InstanceName &From,
                                  framework::Instant Now) {
  HeardAt_ = Now;
  AreOverdueUpdatesReported_ = false;
  if (Asked_ && Asked_->Name_ == From)
    IsLastRequestAnswered_ = true;
}

void StoreReplicator::requestIfDue(const EventContext &Context) {
  if (Context.Now_ < NextRequestAt_ || !isHelpNeeded(Context))
    return;
  const MemberInfo *Source = chooseSource(Context);
  if (!Source)
    return;
  reportOverdueUpdates(*Source, Context);
  const bool IsNothingNewer =
      !isAnnouncedMissing() && View_.revision() == RevisionAtRequest_;
  const bool IsStoreThereForOthers =
      View_.outages().age(Context.Now_) < Timing_.MaxViewAge_;
  // Without an answer it is not known whether anything is newer.
  if (!IsNothingNewer || IsStoreThereForOthers)
    NextRequestDelay_ = RequestDelay;
  else if (IsLastRequestAnswered_)
    NextRequestDelay_ = std::min(2 * NextRequestDelay_, MaxRequestDelay);
  sendRequest(*Source, Context);
}

const MemberInfo *StoreReplicator::chooseSource(const EventContext &Context) {
  std::vector<const MemberInfo *> OwnZone;
  std::vector<const MemberInfo *> OtherZones;
  // Members that are lost because of their datagrams may be reached over
  // connections.
  const bool MayAskLost =
      AreDatagramsLost_ || Context.Membership_.runningCount() == 1;
  for (const auto &[Name, State] : Context.Membership_.members()) {
    if ((State.IsLost_ && !MayAskLost) || State.IsStopping_)
      continue;
    const bool IsAnnouncer = AnnouncedRevision_ && Name == AnnouncedBy_;
    const bool WasAsked =
        Asked_ && Asked_->Name_ == Name && AskedAt_ >= AnnouncedAt_;
    if (IsAnnouncer && !WasAsked)
      return &State.Info_;
    const bool IsInOwnZone = State.Info_.Zone_ == Context.self().Zone_;
    (IsInOwnZone ? OwnZone : OtherZones).push_back(&State.Info_);
  }
  // The rest of the zone depends on the same leader.
  const bool IsOwnZoneAsked =
      OtherZones.empty() ||
      (!OwnZone.empty() && !areUpdatesOverdue(Context.Now_) &&
       Rng_.index(2) == 0);
  const auto &Candidates = IsOwnZoneAsked ? OwnZone : OtherZones;
  return Candidates.empty() ? nullptr
                            : Candidates[Rng_.index(Candidates.size())];
}

void StoreReplicator::sendRequest(const MemberInfo &Source,
                                  const EventContext &Context) {
  const Transport Via = chooseTransport(Source, Context);
  Asked_ = Source;
  AskedAt_ = Context.Now_;
  IsLastRequestAnswered_ = false;
  RevisionAtRequest_ = View_.revision();
  RecordRequest Request;
  Request.From_ = Context.self().Name_;
  Request.Incarnation_ = Context.self().Incarnation_;
  Request.After_ = View_.revision();
  // While the store may have lost records, any statement of it is news.
  const auto Age = View_.age(Context.Now_);
  Request.Age_ = Age && !View_.outages().isRecovering(Context.Now_)
                     ? *Age
                     : RecordUpdate::MoreFollows;
  if (Reassembler_.revision() > View_.revision()) {
    Request.LargeRevision_ = Reassembler_.revision();
    Request.MissingParts_ = Reassembler_.listMissing(MaxMessagesAtOnce);
  }
  LastRequestedPart_ = Request.MissingParts_.empty()
                           ? static_cast<std::uint32_t>(MaxMessagesAtOnce) - 1
                           : Request.MissingParts_.back();
  NextRequestAt_ = Context.Now_ + NextRequestDelay_;
  Context.sendTo({Source.Address_}, Request, Via);
}

void StoreReplicator::answer(const RecordRequest &Message,
                             const std::string &Address, Transport Via,
                             const EventContext &Context) {
  const auto Age = View_.age(Context.Now_);
  const bool HasNews = View_.revision() > Message.After_ ||
                       (Age && *Age + MinAgeGain < Message.Age_ &&
                        View_.revision() == Message.After_);
  if (!Age)
    return;
  // Also without news, so that the sender does not take its request for lost.
  sendAvailability(Address, Via, Context);
  if (!HasNews || Check_.isInDoubt())
    return;
  std::vector<RecordUpdate> Updates =
      Message.After_ < View_.records().completeSince()
          ? makeUpdatesAhead(Message.After_)
          : View_.records().updatesAfter(Message.After_, View_.revision());
  if (Updates.empty()) {
    RecordUpdate &Statement = Updates.emplace_back();
    Statement.FromRevision_ = Message.After_;
    Statement.ToRevision_ = View_.revision();
  }
  std::size_t Sent = 0;
  for (RecordUpdate &Update : Updates) {
    if (Sent >= MaxMessagesAtOnce)
      return;
    // Those that hold changes ahead are independent of each other.
    const bool IsLast = &Update == &Updates.back() ||
                        Update.FromRevision_ == Update.ToRevision_;
    stamp(Update, IsLast, Context);
    Update.Incarnation_ = Context.self().Incarnation_;
    if (RecordTable::fitsInMessage(Update)) {
      Context.sendTo({Address}, Update, Via);
      ++Sent;
      continue;
    }
    const auto Parts = sendParts(Update, Message, Address, Via,
                                 MaxMessagesAtOnce - Sent, Context);
    // What follows cannot be applied before this record is complete.
    if (!Parts)
      return;
    Sent += *Parts;
  }
}

void StoreReplicator::sendAvailability(const std::string &Address,
                                       Transport Via,
                                       const EventContext &Context) const {
  Context.sendTo(
      {Address},
      StoreAvailability{.From_ = Context.self().Name_,
                        .Incarnation_ = Context.self().Incarnation_,
                        .Age_ = View_.outages().age(Context.Now_),
                        .AvailableFor_ =
                            View_.outages().availableFor(Context.Now_)},
      Via);
}

std::vector<RecordUpdate>
StoreReplicator::makeUpdatesAhead(Revision After) const {
  std::vector<RecordUpdate> Updates =
      View_.records().updatesAfter(After, View_.revision());
  // The newest changes first, in case not all are sent.
  std::reverse(Updates.begin(), Updates.end());
  for (RecordUpdate &Each : Updates) {
    Each.FromRevision_ = View_.revision();
    Each.ToRevision_ = View_.revision();
  }
  return Updates;
}

std::optional<std::size_t>
StoreReplicator::sendParts(const RecordUpdate &Update,
                           const RecordRequest &Request,
                           const std::string &Address, Transport Via,
                           std::size_t Limit, const EventContext &Context) {
  const CompressedRecord *Large = compress(Update.Records_.front());
  if (!Large)
    return std::nullopt;
  const bool IsContinued = Request.LargeRevision_ == Large->Revision_ &&
                           !Request.MissingParts_.empty();
  std::vector<std::uint32_t> Indices = Request.MissingParts_;
  if (!IsContinued) {
    Indices.resize(Large->partCount());
    std::iota(Indices.begin(), Indices.end(), 0U);
  }
  const bool AreAllSent = Indices.size() <= Limit;
  Indices.resize(std::min(Indices.size(), Limit));
  for (const std::uint32_t Index : Indices) {
    if (Index >= Large->partCount())
      return std::nullopt;
    RecordPart Part = Large->makePart(Update, Index);
    stamp(Part, Update.Age_ < RecordUpdate::MoreFollows, Context);
    Context.sendTo({Address}, Part, Via);
  }
  return AreAllSent ? std::optional(Indices.size()) : std::nullopt;
}

const CompressedRecord *
StoreReplicator::compress(const ReplicatedRecord &Record) {
  const auto IsSame = [&](const std::optional<CompressedRecord> &Known) {
    return Known && Known->Key_ == Record.Key_ &&
           Known->Revision_ == Record.Revision_;
  };
  if (IsSame(Reassembler_.completed()))
    return &*Reassembler_.completed();
  if (!IsSame(Compressed_))
    Compressed_ = compressRecord(Record);
  return Compressed_ ? &*Compressed_ : nullptr;
}

bool StoreReplicator::isExpected(const RecordPart &Message) const {
  // What another instance at the same revision has found beyond it.
  const bool IsFound = Message.FromRevision_ == Message.ToRevision_ &&
                       Message.ToRevision_ == View_.revision();
  return IsFound || (Asked_ && Asked_->Name_ == Message.From_) ||
         Message.RecordRevision_ <=
             std::max(View_.revision(),
                      AnnouncedRevision_.value_or(Revision()));
}

void StoreReplicator::handle(const RecordPart &Message,
                             const EventContext &Context) {
  recordHeard(Message.From_, Context.Now_);
  if (isSettling(Context.Now_) || !isExpected(Message))
    return;
  const std::size_t MissingBefore = Reassembler_.missingCount();
  if (const auto Update = Reassembler_.add(Message)) {
    handle(*Update, Context);
    return;
  }
  if (Reassembler_.missingCount() != MissingBefore)
    HelpedAt_ = Context.Now_;
  const bool IsAnswer = Asked_ && Asked_->Name_ == Message.From_;
  if (IsAnswer && Message.Index_ == LastRequestedPart_ &&
      Message.RecordRevision_ == Reassembler_.revision())
    sendRequest(MemberInfo(*Asked_), Context);
}

} // namespace cranberryspool::fleet
