#include "fleet/internal/seeded/seededfleet.h"

#include "fleet/internal/rendezvous.h"

#include <algorithm>

namespace cranberryspool::fleet {

namespace {

using framework::Duration;
using framework::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration TickInterval = milliseconds(50);
/// The interval at which gossip is sent to `GossipFanout` members.
constexpr Duration GossipInterval = milliseconds(500);
/// A starting instance sends gossip more often, so that it knows its peer group
/// before it probes targets.
constexpr Duration StartupGossipInterval = milliseconds(100);
constexpr Duration StartupGossipPeriod = seconds(2);
constexpr std::size_t GossipFanout = 4;
/// The mean number of instances of a zone that send gossip to another zone in
/// each round.
constexpr std::size_t CrossZoneSendersPerRound = 18;
/// Seeds are contacted often while no other member is known. Later they are
/// contacted slowly for as long as the process runs, so that the fleet merges
/// again after a network partition.
constexpr Duration SeedIntervalWhileAlone = milliseconds(100);
constexpr Duration SeedInterval = seconds(2);
/// While no datagram of another member arrives, seeds are contacted over
/// connections as well.
constexpr Duration SeedConnectionInterval = milliseconds(500);
/// The rate of a cold target is divided among this many instances, which are
/// chosen by rendezvous hashing.
constexpr std::size_t SendersPerColdTarget = 3;
/// Requests per second to a cold target by an instance that knows no other
/// member.
constexpr double ColdRateWhileAlone = 1;

MemberInfo makeSelfInfo(const FleetSettings &Settings) {
  return MemberInfo{.Name_ = Settings.Self_,
                    .Incarnation_ = Settings.Incarnation_,
                    .Zone_ = Settings.Zone_,
                    .Address_ = Settings.Address_};
}

} // namespace

SeededFleet::SeededFleet(FleetSettings Settings, framework::Random Rng)
    : Seeds_(*Settings.Seeds_), Rng_(Rng), Membership_(makeSelfInfo(Settings)),
      Replicator_(Seeds_.Decode_, Seeds_.Bounds_,
                  framework::Random(Rng_.bits())) {}

void SeededFleet::start(framework::Moment Now, OutputList &Output) {
  StartedAt_ = Now.Monotonic_;
  Replicator_.start(StartedAt_);
  tick(Now, Output);
}

void SeededFleet::tick(framework::Moment Now, OutputList &Output) {
  const Instant MonotonicNow = Now.Monotonic_;
  NextTickAt_ = MonotonicNow + TickInterval;
  for (const framework::InstanceName &Lost : Membership_.expire(MonotonicNow))
    Output.push_back(PeerReachabilityChanged{Lost, false});
  confirmMembers(MonotonicNow, Output);
  if (Group_.rebuild(Membership_, MonotonicNow))
    GroupChangedAt_ = MonotonicNow;
  introduceToGroup(MonotonicNow, Output);
  notifySharesChanged(MonotonicNow, Output);
  Replicator_.tick(makeContext(Now, Output));
  sendLoads(makeContext(Now, Output));
  sendDemand(makeContext(Now, Output));
  if (MonotonicNow >= NextGossipAt_)
    sendGossipRound(MonotonicNow, Output);
  if (MonotonicNow >= NextSeedContactAt_)
    contactSeeds(MonotonicNow, Output);
}

void SeededFleet::handle(const GossipMessage &Message, Transport Via,
                         framework::Moment Now, OutputList &Output) {
  if (Message.Members_.empty())
    return;
  const MemberInfo &Sender = Message.Members_.front();
  if (Sender.Name_ == Membership_.self().Name_ ||
      Membership_.isSucceeded(Sender.Name_, Sender.Incarnation_)) {
    Output.push_back(PeerMessageRejected{
        Sender.Name_.value(), "gossip of another process of this name"});
    return;
  }
  const bool WasMember =
      Membership_.find(Sender.Name_, Sender.Incarnation_) != nullptr;
  const bool IsAdmitted =
      Membership_.isAdmitted(Sender.Name_, Sender.Incarnation_) ||
      admitByEarlierEvidence(Sender, Now.Monotonic_, Output);
  if (!IsAdmitted && isAdmissionRequired()) {
    handleGossipOfCandidate(Message, Via, Now.Monotonic_, Output);
    return;
  }
  const auto Merged = Membership_.merge(Message, Now.Monotonic_, IsAdmitted);
  for (const framework::InstanceName &Each : Merged.Admitted_)
    reportAdmitted(Each, Sender.Name_.value(), Output);
  // A process whose successor is known does not become a member.
  const bool IsMember =
      Membership_.find(Sender.Name_, Sender.Incarnation_) != nullptr;
  const bool HasSenderJoined =
      Merged.HasSenderJoined_ || (!WasMember && IsMember);
  if (HasSenderJoined)
    Output.push_back(PeerReachabilityChanged{Sender.Name_, true});
  if (Message.IsReplyRequested_ || HasSenderJoined)
    sendIntroduction(Sender.Address_, false, Via, Now.Monotonic_, Output);
}

bool SeededFleet::isDiscoveryComplete(Instant Now) const {
  return LoadedLateAt_ ? Now >= *LoadedLateAt_ + LateDiscoveryTime
                       : Now >= StartedAt_ + DiscoveryTime;
}

void SeededFleet::notifySharesChanged(Instant Now, OutputList &Output) {
  const ShareInputs Inputs{Membership_.version(), isDiscoveryComplete(Now),
                           isRetryWindowOver(Now)};
  if (Inputs == NotifiedInputs_)
    return;
  NotifiedInputs_ = Inputs;
  Output.push_back(SharesChanged{});
}

void SeededFleet::sendGossipRound(Instant Now, OutputList &Output) {
  const bool IsStartingUp = Now < StartedAt_ + StartupGossipPeriod;
  NextGossipAt_ = Now + (IsStartingUp ? StartupGossipInterval : GossipInterval);
  std::vector<const Membership::MemberState *> OwnZone;
  std::vector<const Membership::MemberState *> OtherZones;
  for (const auto &[Name, State] : Membership_.members()) {
    const bool IsInOwnZone = State.Info_.Zone_ == Membership_.self().Zone_;
    (IsInOwnZone && !State.IsLost_ ? OwnZone : OtherZones).push_back(&State);
  }
  // Gossip stays mostly within the zone, since traffic between zones is
  // expensive: in a large zone only some instances send gossip to another zone
  // in a round.
  const bool IsCrossZoneDue =
      !isDiscoveryComplete(Now) ||
      Rng_.index(OwnZone.size() + 1) < CrossZoneSendersPerRound ||
      OwnZone.empty();
  for (std::size_t Sent = 0; Sent < GossipFanout; ++Sent) {
    const bool IsCrossZone = Sent == 0 && IsCrossZoneDue;
    auto &Candidates = (IsCrossZone || OwnZone.empty()) && !OtherZones.empty()
                           ? OtherZones
                           : OwnZone;
    if (Candidates.empty())
      return;
    const std::size_t Chosen = Rng_.index(Candidates.size());
    sendGossip(Candidates[Chosen]->Info_.Address_, false, Transport::Datagram,
               Now, Output);
    Candidates.erase(Candidates.begin() + static_cast<std::ptrdiff_t>(Chosen));
  }
}

void SeededFleet::contactSeeds(Instant Now, OutputList &Output) {
  const bool IsAlone = Membership_.members().empty();
  NextSeedContactAt_ = Now + (IsAlone ? SeedIntervalWhileAlone : SeedInterval);
  if (Seeds_.Addresses_.empty())
    return;
  contactSeedsOverConnections(Now, Output);
  if (!IsAlone) {
    sendGossip(Seeds_.Addresses_[Rng_.index(Seeds_.Addresses_.size())], false,
               Transport::Datagram, Now, Output);
    return;
  }
  for (const std::string &Address : Seeds_.Addresses_)
    sendGossip(Address, true, Transport::Datagram, Now, Output);
}

void SeededFleet::contactSeedsOverConnections(Instant Now, OutputList &Output) {
  const bool IsHearingNobody =
      isDiscoveryComplete(Now) && Membership_.runningCount() == 1;
  if (!IsHearingNobody || Now < NextSeedConnectionAt_)
    return;
  NextSeedConnectionAt_ = Now + SeedConnectionInterval;
  for (const std::string &Address : Seeds_.Addresses_)
    sendGossip(Address, true, Transport::Connection, Now, Output);
}

void SeededFleet::sendGossip(const std::string &Address, bool IsReplyRequested,
                             Transport Via, Instant Now, OutputList &Output) {
  if (Address == Membership_.self().Address_)
    return;
  GossipMessage Message;
  Message.Members_ =
      Membership_.sample(MaxMembersPerGossip, isAdmissionRequired(), Now, Rng_);
  Message.IsReplyRequested_ = IsReplyRequested;
  Message.IsStopping_ = IsStopping_;
  Output.push_back(SendMessage{Address, std::move(Message), Via});
}

void SeededFleet::handleAllRecords(const std::vector<StoredRecord> &Records,
                                   framework::Revision AsOf,
                                   framework::Moment Now, OutputList &Output) {
  const bool WasLoaded = view().isLoaded();
  Replicator_.handleAllRecords(Records, AsOf, makeContext(Now, Output));
  withdrawAdmissions();
  if (!WasLoaded && isDiscoveryComplete(Now.Monotonic_))
    LoadedLateAt_ = Now.Monotonic_;
}

void SeededFleet::handleChangedRecords(const std::vector<StoredRecord> &Records,
                                       framework::Revision AsOf,
                                       framework::Moment Now,
                                       OutputList &Output) {
  Replicator_.handleChangedRecords(Records, AsOf, makeContext(Now, Output));
  withdrawAdmissions();
}

void SeededFleet::handlePartOfChanges(const std::vector<StoredRecord> &Records,
                                      framework::Revision UpTo,
                                      framework::Moment Now,
                                      OutputList &Output) {
  Replicator_.handlePartOfChanges(Records, UpTo, makeContext(Now, Output));
}

void SeededFleet::handleHistoryLost(framework::Moment Now, OutputList &Output) {
  Replicator_.handleHistoryLost(makeContext(Now, Output));
}

void SeededFleet::handleRecordsArriving(ReadKind Kind, framework::Moment Now,
                                        OutputList &Output) {
  Replicator_.handleAnswerArriving(Kind, makeContext(Now, Output));
}

void SeededFleet::handleRecordsUnavailable(const ReadFailure &Failure,
                                           framework::Moment Now,
                                           OutputList &Output) {
  Replicator_.handleReadFailure(Failure, makeContext(Now, Output));
}

void SeededFleet::handleStopRequest(framework::Moment Now, OutputList &Output) {
  IsStopping_ = true;
  NextGossipAt_ = Now.Monotonic_;
  tick(Now, Output);
}

void SeededFleet::handlePause(framework::Moment Now, OutputList &Output) {
  NextGossipAt_ = Now.Monotonic_;
  tick(Now, Output);
}

void SeededFleet::setSeeds(std::vector<std::string> Addresses) {
  Seeds_.Addresses_ = std::move(Addresses);
}

bool SeededFleet::isViewFresh(Instant) const {
  // An old view is used as well: the bounds that apply to an isolated instance
  // do not depend on it.
  return view().isLoaded() && view().configuration().Document_;
}

std::vector<document::PublishedInstance> SeededFleet::peers() const {
  std::vector<document::PublishedInstance> Found;
  for (const auto &[Name, State] : Membership_.members())
    Found.push_back(
        document::PublishedInstance{.Name_ = Name,
                                    .Group_ = std::nullopt,
                                    .Zone_ = State.Info_.Zone_,
                                    .Address_ = State.Info_.Address_,
                                    .IsLeaving_ = State.IsStopping_});
  return Found;
}

std::vector<document::PublishedInstance> SeededFleet::runningPeers() const {
  std::vector<document::PublishedInstance> Running = peers();
  std::erase_if(Running, [this](const document::PublishedInstance &Each) {
    const auto &State = Membership_.members().at(Each.Name_);
    return Each.IsLeaving_ || State.IsLost_ ||
           (isAdmissionRequired() && !State.IsAdmitted_);
  });
  return Running;
}

std::vector<MemberInfo> SeededFleet::listRunningMembers() const {
  std::vector<MemberInfo> Running;
  for (const auto &[Name, State] : Membership_.members())
    if (!State.IsLost_ && !State.IsStopping_ &&
        (State.IsAdmitted_ || !isAdmissionRequired()))
      Running.push_back(State.Info_);
  return Running;
}

bool SeededFleet::isRunningPeer(const framework::InstanceName &Name,
                                framework::Incarnation Incarnation,
                                const std::string &Address) const {
  const Membership::MemberState *Found = Membership_.find(Name, Incarnation);
  if (!Found || Found->IsLost_ || !Found->IsAdmitted_)
    return false;
  const MemberInfo &Member = Found->Info_;
  return Member.Address_.substr(0, Member.Address_.rfind(':')) == Address;
}

std::size_t SeededFleet::fleetSize() const { return Membership_.knownCount(); }

double SeededFleet::coldRate(const framework::TargetName &Target,
                             double FleetRate, Instant Now) const {
  if (Membership_.knownCount() == 1)
    return std::min(ColdRateWhileAlone, FleetRate);
  if (!isDiscoveryComplete(Now))
    return 0;
  if (countHigherRanked(Target, SendersPerColdTarget) == SendersPerColdTarget)
    return 0;
  const std::size_t Senders =
      std::min(SendersPerColdTarget, Membership_.knownCount());
  return FleetRate / static_cast<double>(Senders);
}

std::optional<routing::SenderRank>
SeededFleet::senderRank(const framework::TargetName &Target,
                        Instant Now) const {
  if (!isDiscoveryComplete(Now))
    return std::nullopt;
  return routing::SenderRank{
      static_cast<std::uint32_t>(
          countHigherRanked(Target, Membership_.knownCount())),
      static_cast<std::uint32_t>(Membership_.knownCount())};
}

std::size_t SeededFleet::countHigherRanked(const framework::TargetName &Target,
                                           std::size_t Limit) const {
  const std::uint64_t Own =
      rendezvousWeight(Target.value(), Membership_.self().Name_.value());
  std::size_t Count = 0;
  for (const auto &[Name, State] : Membership_.members()) {
    if (Count == Limit)
      break;
    if (!State.IsLost_ && !State.IsStopping_ &&
        rendezvousWeight(Target.value(), Name.value()) > Own)
      ++Count;
  }
  return Count;
}

EventContext SeededFleet::makeContext(framework::Moment Now,
                                      OutputList &Output) const {
  return EventContext{Now.Monotonic_, Now.Wall_, Membership_, Group_, Output};
}

void SeededFleet::handle(const RecordUpdate &Message, framework::Moment Now,
                         OutputList &Output) {
  if (!admitByEvidence(Message, Now.Monotonic_, Output) &&
      !checkSender(Message.From_, Message.Incarnation_, "records",
                   Now.Monotonic_, Output))
    return;
  Group_.recordActivity(Message.From_, Now.Monotonic_);
  // Evidence leads nowhere, and its records are no news.
  if (Message.ToRevision_ == framework::Revision())
    return;
  if (!Replicator_.isAnswerExpected(Message.From_, Now.Monotonic_))
    Group_.recordUpdate(Message.From_, Membership_.self().Name_,
                        Now.Monotonic_);
  Replicator_.handle(Message, makeContext(Now, Output));
}

void SeededFleet::handle(const RecordPart &Message, framework::Moment Now,
                         OutputList &Output) {
  const auto Sender = Membership_.members().find(Message.From_);
  if (!checkSender(Message.From_,
                   Sender == Membership_.members().end()
                       ? framework::Incarnation()
                       : Sender->second.Info_.Incarnation_,
                   "part of a record", Now.Monotonic_, Output))
    return;
  Group_.recordActivity(Message.From_, Now.Monotonic_);
  Replicator_.handle(Message, makeContext(Now, Output));
}

void SeededFleet::handle(const StoreAvailability &Message,
                         framework::Moment Now, OutputList &Output) {
  if (!checkSender(Message.From_, Message.Incarnation_, "store availability",
                   Now.Monotonic_, Output))
    return;
  Group_.recordActivity(Message.From_, Now.Monotonic_);
  Replicator_.handle(Message, makeContext(Now, Output));
}

void SeededFleet::handle(const ViewReplaced &Message, framework::Moment Now,
                         OutputList &Output) {
  if (!checkSender(Message.From_, Message.Incarnation_, "replaced view",
                   Now.Monotonic_, Output))
    return;
  Group_.recordActivity(Message.From_, Now.Monotonic_);
  Replicator_.handle(Message, makeContext(Now, Output));
}

void SeededFleet::handle(const RecordRequest &Message, Transport Via,
                         framework::Moment Now, OutputList &Output) {
  if (Message.isForEvidence() ||
      !isTrusted(Message.From_, Message.Incarnation_)) {
    answerUntrusted(Message, Via, Now.Monotonic_, Output);
    return;
  }
  const MemberInfo Sender = Membership_.members().at(Message.From_).Info_;
  Group_.recordActivity(Message.From_, Now.Monotonic_);
  Replicator_.answer(Message, Sender.Address_, Via, makeContext(Now, Output));
}

} // namespace cranberryspool::fleet
