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
/// Greetings to a few members, and how many.
constexpr Duration RoundInterval = milliseconds(500);
/// At first an instance greets more often, so that it knows the group of
/// neighbours that it belongs to before it probes targets.
constexpr Duration FirstRoundInterval = milliseconds(100);
constexpr Duration FirstRoundsTime = seconds(2);
constexpr std::size_t MembersPerRound = 4;
/// Instances of a zone that greet another zone in a round, on average.
constexpr std::size_t GreetersOfOtherZones = 18;
/// Members that a greeting names besides its sender; keeps it within one
/// datagram.
constexpr std::size_t MembersPerGreeting = 18;
/// Seeds are greeted at this pace while nobody has been heard, and slowly for
/// as long as the process runs, so that parts of the fleet that lost each
/// other meet again.
constexpr Duration FirstSeedInterval = milliseconds(100);
constexpr Duration SeedInterval = seconds(2);
/// An instance that has just started may not have heard of most others yet.
constexpr Duration SettlingTime = seconds(1);
/// Until then neighbours have not told an instance which targets they probe.
constexpr Duration FirstProbeDelay = milliseconds(400);
/// Members that may send to one cold target.
constexpr std::size_t ColdSenders = 3;
/// Requests a second to a cold target by an instance that knows nobody.
constexpr double LonelyColdRate = 1;
/// A target is probed at this pace by the instance of its zone that is
/// responsible for it; the platform allows each target 60 probes a second, most
/// of which are left to those who step in.
constexpr Duration ProbeInterval = milliseconds(90);
/// The instance that is responsible in a group of neighbours probes when nobody
/// told of the target for so long, the others later.
constexpr Duration HealthPatience = milliseconds(500);
constexpr Duration HealthPatienceOfGroup = milliseconds(1000);
/// Targets of other zones are probed at this pace only when nobody has told of
/// them for longer: their own zones tell how they are, at a fraction of the
/// bytes.
constexpr Duration ProbeIntervalAbroad = milliseconds(500);
constexpr Duration PatienceAbroad = milliseconds(800);
constexpr Duration NoticeIntervalAbroad = milliseconds(150);
/// For each target that a notice to other zones told of, it is so much longer
/// until the next: a zone with many targets needs the others less.
constexpr Duration NoticePauseOfTarget = milliseconds(4);
/// The other groups of the zone are told of probes at this pace.
constexpr Duration NoticeIntervalToZone = milliseconds(200);
/// Neighbours are told something at least so often, as a sign of life.
constexpr Duration NoticeInterval = milliseconds(200);
KnownMember selfOf(const FleetSettings &Settings) {
  return KnownMember{.Name_ = Settings.Self_,
                     .Incarnation_ = Settings.Incarnation_,
                     .Zone_ = Settings.Zone_,
                     .Address_ = Settings.Address_};
}

} // namespace

SeededFleet::SeededFleet(FleetSettings Settings, framework::Random Rng)
    : Seeds_(*Settings.Seeds_), Rng_(Rng), Members_(selfOf(Settings)),
      Store_(Seeds_.Decode_, Seeds_.Bounds_.LapseGrace_,
             framework::Random(Rng_.bits())) {}

void SeededFleet::start(framework::Moment Now, OutputList &Output) {
  StartedAt_ = Now.Monotonic_;
  Store_.start(StartedAt_);
  tick(Now, Output);
}

void SeededFleet::tick(framework::Moment Now, OutputList &Output) {
  const Instant At = Now.Monotonic_;
  NextTickAt_ = At + TickInterval;
  for (const framework::InstanceName &Lost : Members_.expire(At))
    Output.push_back(PeerReachabilityChanged{Lost, false});
  if (Neighbours_.form(Members_, At))
    GroupFormedAt_ = At;
  tellShares(At, Output);
  Store_.tick(around(Now, Output));
  shareLoads(around(Now, Output));
  if (At >= NextRoundAt_)
    greetRound(At, Output);
  if (At >= NextSeedsAt_)
    greetSeeds(At, Output);
}

void SeededFleet::handle(const Greeting &Message, framework::Moment Now,
                         OutputList &Output) {
  if (Message.Members_.empty())
    return;
  const KnownMember &Sender = Message.Members_.front();
  const bool IsNew = Members_.note(Message, Now.Monotonic_);
  if (IsNew)
    Output.push_back(PeerReachabilityChanged{Sender.Name_, true});
  if (Message.IsAnswerWanted_ || IsNew)
    greet(Sender.Address_, false, Now.Monotonic_, Output);
}

bool SeededFleet::isSettled(Instant Now) const {
  return Now >= StartedAt_ + SettlingTime;
}

void SeededFleet::tellShares(Instant Now, OutputList &Output) {
  const ShareInputs Inputs{Members_.changes(), isSettled(Now)};
  if (Inputs == ToldInputs_)
    return;
  ToldInputs_ = Inputs;
  Output.push_back(SharesChanged{});
}

void SeededFleet::greetRound(Instant Now, OutputList &Output) {
  const bool IsFirst = Now < StartedAt_ + FirstRoundsTime;
  NextRoundAt_ = Now + (IsFirst ? FirstRoundInterval : RoundInterval);
  std::vector<const Members::Record *> Near;
  std::vector<const Members::Record *> Far;
  for (const auto &[Name, Known] : Members_.records()) {
    const bool IsNear = Known.Known_.Zone_ == Members_.self().Zone_;
    (IsNear && !Known.IsLost_ ? Near : Far).push_back(&Known);
  }
  // Mostly inside the zone, as traffic between zones is dear: in a large zone
  // not each instance greets another zone in each round.
  const bool IsFarDue = !isSettled(Now) ||
                        Rng_.index(Near.size() + 1) < GreetersOfOtherZones ||
                        Near.empty();
  for (std::size_t Sent = 0; Sent < MembersPerRound; ++Sent) {
    const bool IsFar = Sent == 0 && IsFarDue;
    auto &From = (IsFar || Near.empty()) && !Far.empty() ? Far : Near;
    if (From.empty())
      return;
    const std::size_t Chosen = Rng_.index(From.size());
    greet(From[Chosen]->Known_.Address_, false, Now, Output);
    From.erase(From.begin() + static_cast<std::ptrdiff_t>(Chosen));
  }
}

void SeededFleet::greetSeeds(Instant Now, OutputList &Output) {
  const bool IsAlone = Members_.records().empty();
  NextSeedsAt_ = Now + (IsAlone ? FirstSeedInterval : SeedInterval);
  if (Seeds_.Addresses_.empty())
    return;
  if (!IsAlone) {
    greet(Seeds_.Addresses_[Rng_.index(Seeds_.Addresses_.size())], false, Now,
          Output);
    return;
  }
  for (const std::string &Address : Seeds_.Addresses_)
    greet(Address, true, Now, Output);
}

void SeededFleet::greet(const std::string &Address, bool IsAnswerWanted,
                        Instant Now, OutputList &Output) {
  if (Address == Members_.self().Address_)
    return;
  Greeting Message;
  Message.Members_ = Members_.sample(MembersPerGreeting, Now, Rng_);
  Message.IsAnswerWanted_ = IsAnswerWanted;
  Message.IsStopping_ = IsStopping_;
  Output.push_back(SendMessage{Address, std::move(Message)});
}

void SeededFleet::handleAllRecords(const std::vector<StoredRecord> &Records,
                                   framework::Revision AsOf,
                                   framework::Moment Now, OutputList &Output) {
  Store_.handleAllRecords(Records, AsOf, around(Now, Output));
}

void SeededFleet::handleChangedRecords(const std::vector<StoredRecord> &Records,
                                       framework::Revision AsOf,
                                       framework::Moment Now,
                                       OutputList &Output) {
  Store_.handleChangedRecords(Records, AsOf, around(Now, Output));
}

void SeededFleet::handleHistoryLost(framework::Moment Now, OutputList &Output) {
  Store_.handleHistoryLost(around(Now, Output));
}

void SeededFleet::handleRecordsUnavailable(framework::Moment Now,
                                           OutputList &Output) {
  Store_.noteUnavailable(around(Now, Output));
}

void SeededFleet::handleStopRequest(framework::Moment Now, OutputList &Output) {
  IsStopping_ = true;
  NextRoundAt_ = Now.Monotonic_;
  tick(Now, Output);
}

void SeededFleet::notePause(framework::Moment Now, OutputList &Output) {
  NextRoundAt_ = Now.Monotonic_;
  tick(Now, Output);
}

void SeededFleet::setSeeds(std::vector<std::string> Addresses) {
  Seeds_.Addresses_ = std::move(Addresses);
}

bool SeededFleet::isViewFresh(Instant) const {
  // A view that is old is still better than none: the bounds that hold for an
  // instance that is cut off do not depend on it.
  return view().hasList() && view().configuration().Document_;
}

std::vector<document::PublishedInstance> SeededFleet::peers() const {
  std::vector<document::PublishedInstance> Found;
  for (const auto &[Name, Known] : Members_.records())
    Found.push_back(
        document::PublishedInstance{.Name_ = Name,
                                    .Group_ = std::nullopt,
                                    .Zone_ = Known.Known_.Zone_,
                                    .Address_ = Known.Known_.Address_,
                                    .IsLeaving_ = Known.IsStopping_});
  return Found;
}

std::size_t SeededFleet::fleetSize() const { return Members_.peak(); }

double SeededFleet::coldRate(const framework::TargetName &Target,
                             double FleetRate, Instant Now) const {
  if (Members_.peak() == 1)
    return std::min(LonelyColdRate, FleetRate);
  if (!isSettled(Now))
    return 0;
  const std::uint64_t Own =
      rendezvousWeight(Target.value(), Members_.self().Name_.value());
  const auto Ahead = std::count_if(
      Members_.records().begin(), Members_.records().end(),
      [&](const auto &Each) {
        return !Each.second.IsLost_ && !Each.second.IsStopping_ &&
               rendezvousWeight(Target.value(), Each.first.value()) > Own;
      });
  if (static_cast<std::size_t>(Ahead) >= ColdSenders)
    return 0;
  const std::size_t Senders = std::min(ColdSenders, Members_.peak());
  return FleetRate / static_cast<double>(Senders);
}

Surroundings SeededFleet::around(framework::Moment Now,
                                 OutputList &Output) const {
  return Surroundings{Now.Monotonic_, Now.Wall_, Members_, Neighbours_, Output};
}

bool SeededFleet::mayProbe(const framework::TargetName &Target,
                           Instant Now) const {
  // Each instance that probes a target opens a connection to it, which would be
  // too many when a large fleet starts.
  if (Now < StartedAt_ + FirstProbeDelay)
    return false;
  const Duration SinceOwn = Loads_.probeAge(Target, Now);
  if (SinceOwn < ProbeInterval)
    return false;
  const framework::InstanceName &Self = Members_.self().Name_;
  if (!isNear(Target))
    return isSettled(Now) && SinceOwn >= ProbeIntervalAbroad &&
           Loads_.healthAge(Target, Now) >= PatienceAbroad &&
           Neighbours_.isResponsible(Target.value(), Self, Now);
  if (Neighbours_.isZoneResponsible(Target.value(), Self, Now))
    return isSettled(Now) || SinceOwn >= SettlingTime;
  // Neighbours probe little before they have settled, and a new group has to
  // tell what it knows first.
  const Instant ListensSince =
      std::max(GroupFormedAt_, StartedAt_ + SettlingTime);
  const Duration Unheard =
      std::min({Loads_.healthAge(Target, Now), Now - ListensSince, SinceOwn});
  if (Unheard < HealthPatience)
    return false;
  return Unheard >= HealthPatienceOfGroup ||
         Neighbours_.isResponsible(Target.value(), Self, Now);
}

void SeededFleet::recordProbe(const framework::TargetName &Target,
                              Instant Now) {
  Loads_.recordProbe(Target, Now);
}

void SeededFleet::shareLoads(const Surroundings &Around) {
  const Instant Now = Around.Now_;
  if (Loads_.hasNews(LoadAudience::Group) || Now >= NextLoadNoticeAt_) {
    NextLoadNoticeAt_ = Now + NoticeInterval;
    // An empty notice tells that this instance runs.
    std::vector<LoadNotice> Notices = takeLoads(LoadAudience::Group, Now);
    if (Notices.empty())
      Notices.push_back(makeLoadNotice());
    for (const LoadNotice &Notice : Notices)
      Around.sendToNeighbours(Notice);
  }
  if (Now >= NextNoticeToZoneAt_) {
    NextNoticeToZoneAt_ = Now + NoticeIntervalToZone;
    for (const LoadNotice &Notice : takeLoads(LoadAudience::Zone, Now))
      Around.sendTo(Neighbours_.delegates(), Notice);
  }
  if (Now >= NextNoticeAbroadAt_ && Around.isZoneReader()) {
    std::size_t Told = 0;
    for (const LoadNotice &Notice : takeLoads(LoadAudience::OtherZones, Now)) {
      Around.sendTo(Neighbours_.otherZones(), Notice);
      Told += Notice.Loads_.size();
    }
    NextNoticeAbroadAt_ =
        Now + std::max(NoticeIntervalAbroad,
                       NoticePauseOfTarget * static_cast<Duration::rep>(Told));
  }
}

LoadNotice SeededFleet::makeLoadNotice() const {
  LoadNotice Notice;
  Notice.From_ = Members_.self().Name_;
  Notice.Incarnation_ = Members_.self().Incarnation_;
  return Notice;
}

std::vector<LoadNotice> SeededFleet::takeLoads(LoadAudience For, Instant Now) {
  std::vector<LoadNotice> Notices;
  for (auto &Part : Loads_.take(For, Now)) {
    Notices.push_back(makeLoadNotice());
    Notices.back().Loads_ = std::move(Part);
  }
  return Notices;
}

void SeededFleet::handle(const LoadNotice &Message, framework::Moment Now,
                         OutputList &Output) {
  const Instant At = Now.Monotonic_;
  Members_.noteAlive(Message.From_, Message.Incarnation_, At);
  Neighbours_.noteHeard(Message.From_, At);
  for (const SharedLoad &Each : Message.Loads_) {
    Loads_.noteShared(Each, At);
    Output.push_back(LoadShared{Each.Target_, Each.Report_, At - Each.Age_});
  }
  passOn(Message, around(Now, Output));
}

void SeededFleet::passOn(const LoadNotice &Message,
                         const Surroundings &Around) {
  const bool IsFromGroup = Neighbours_.isNeighbour(Message.From_);
  const bool IsFromZone = Neighbours_.isInZone(Message.From_);
  for (const SharedLoad &Each : Message.Loads_) {
    if (!Each.Report_.WarmupLeft_)
      continue;
    if (IsFromZone && isNear(Each.Target_))
      Loads_.tell(LoadAudience::OtherZones, Each, Around.Now_);
    if (IsFromZone && !IsFromGroup && Around.isTeller())
      Loads_.tell(LoadAudience::Group, Each, Around.Now_);
    if (IsFromZone || !Around.isZoneReader())
      continue;
    Loads_.tell(LoadAudience::Group, Each, Around.Now_);
    Loads_.tell(LoadAudience::Zone, Each, Around.Now_);
  }
}

void SeededFleet::recordLoad(const framework::TargetName &Target,
                             const routing::LoadReport &Report, Instant Now) {
  Loads_.noteOwn(Target, Report, Now);
  if (!Report.WarmupLeft_ || !isNear(Target))
    return;
  const SharedLoad Load{Target, Report, Duration{}};
  Loads_.tell(LoadAudience::Zone, Load, Now);
  Loads_.tell(LoadAudience::OtherZones, Load, Now);
}

bool SeededFleet::isNear(const framework::TargetName &Target) const {
  const framework::ZoneName *Zone = view().zoneOf(Target);
  return !Zone || *Zone == Members_.self().Zone_;
}

void SeededFleet::handle(const RecordNotice &Message, framework::Moment Now,
                         OutputList &Output) {
  Neighbours_.noteHeard(Message.From_, Now.Monotonic_);
  Store_.handle(Message, around(Now, Output));
}

void SeededFleet::handle(const RecordPiece &Message, framework::Moment Now,
                         OutputList &Output) {
  Neighbours_.noteHeard(Message.From_, Now.Monotonic_);
  Store_.handle(Message, around(Now, Output));
}

} // namespace cranberryspool::fleet
