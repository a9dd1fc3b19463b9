#include "fleet/internal/seeded/seededfleet.h"

#include "fleet/internal/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <string_view>

namespace cranberryspool::fleet {

namespace {

using framework::Duration;
using framework::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration TickInterval = milliseconds(50);
/// Greetings to a few members, and how many.
constexpr Duration RoundInterval = milliseconds(500);
/// In its first second an instance greets more often, so that it knows the
/// group of neighbours that it belongs to before it probes targets.
constexpr Duration FirstRoundInterval = milliseconds(100);
constexpr std::size_t MembersPerRound = 4;
/// Members that a greeting names besides its sender; keeps it within one
/// datagram.
constexpr std::size_t MembersPerGreeting = 18;
/// Seeds are greeted at this pace while nobody has been heard, and slowly for
/// as long as the process runs, so that parts of the fleet that lost each
/// other meet again.
constexpr Duration FirstSeedInterval = milliseconds(100);
constexpr Duration SeedInterval = seconds(2);
/// How long a watch of the store may wait: bounds the age of the view.
constexpr Duration WatchWait = milliseconds(1000);
/// After changes a reader waits before it watches again, the longer the more
/// groups of neighbours there are, so that a busy store is not asked at each
/// change by all of them.
constexpr Duration ReadPauseOfGroup = milliseconds(20);
constexpr Duration LongestReadPause = milliseconds(400);
constexpr Duration FirstReadRetry = milliseconds(100);
constexpr std::uint32_t MaxRetryDoublings = 2;
/// An instance that has just started may not have heard of most others yet.
constexpr Duration SettlingTime = seconds(1);
/// Until then neighbours have not told an instance which targets they probe.
constexpr Duration FirstProbeDelay = milliseconds(400);
/// Members that may send to one cold target.
constexpr std::size_t ColdSenders = 3;
/// Requests a second to a cold target by an instance that knows nobody.
constexpr double LonelyColdRate = 1;
/// A target is probed at this pace by the instance of a group of neighbours
/// that is responsible for it, or slower where there are many groups: the
/// platform allows each target so many probes a second.
constexpr Duration ProbeInterval = milliseconds(90);
constexpr std::int64_t ProbesPerSecond = 36;
/// Others probe when nobody told them of the target for so long, and for so
/// many intervals of the responsible instance.
constexpr Duration HealthPatience = milliseconds(500);
constexpr int PatientIntervals = 3;
/// Neighbours are told something at least so often, as a sign of life.
constexpr Duration NoticeInterval = milliseconds(200);
/// An instance reads the store itself when its neighbours' word is older.
/// Longer than a watch waits and a notice takes.
constexpr Duration ViewPatience = milliseconds(1600);
/// The task of reading the store, for which one of a group is responsible.
constexpr std::string_view ReadingTask = "store";

std::vector<StoredRecord> newerThan(framework::Revision Known,
                                    const std::vector<StoredRecord> &Records) {
  std::vector<StoredRecord> Newer;
  std::copy_if(
      Records.begin(), Records.end(), std::back_inserter(Newer),
      [&](const StoredRecord &Each) { return Each.Revision_ > Known; });
  return Newer;
}

KnownMember selfOf(const FleetSettings &Settings) {
  return KnownMember{.Name_ = Settings.Self_,
                     .Incarnation_ = Settings.Incarnation_,
                     .Zone_ = Settings.Zone_,
                     .Address_ = Settings.Address_};
}

} // namespace

SeededFleet::SeededFleet(FleetSettings Settings, framework::Random Rng)
    : Seeds_(*Settings.Seeds_), Rng_(Rng), Members_(selfOf(Settings)),
      View_(Seeds_.Decode_, Seeds_.Bounds_.LapseGrace_) {}

void SeededFleet::start(framework::Moment Now, OutputList &Output) {
  StartedAt_ = Now.Monotonic_;
  tick(Now, Output);
}

void SeededFleet::tick(framework::Moment Now, OutputList &Output) {
  const Instant At = Now.Monotonic_;
  NextTickAt_ = At + TickInterval;
  for (const framework::InstanceName &Lost : Members_.expire(At))
    Output.push_back(PeerChanged{Lost, false});
  tell(View_.advance(At), Output);
  if (Neighbours_.form(Members_, At))
    GroupFormedAt_ = At;
  tellShares(At, Output);
  read(At, Output);
  shareLoads(At, Output);
  shareRecords(At, Output);
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
    Output.push_back(PeerChanged{Sender.Name_, true});
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
  NextRoundAt_ = Now + (isSettled(Now) ? RoundInterval : FirstRoundInterval);
  std::vector<const Members::Record *> Near;
  std::vector<const Members::Record *> Far;
  for (const auto &[Name, Known] : Members_.records()) {
    const bool IsNear = Known.Known_.Zone_ == Members_.self().Zone_;
    (IsNear && !Known.IsLost_ ? Near : Far).push_back(&Known);
  }
  // Mostly inside the zone: traffic between zones is dear.
  for (std::size_t Sent = 0; Sent < MembersPerRound; ++Sent) {
    auto &From = Far.empty() || (Sent > 0 && !Near.empty()) ? Near : Far;
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

bool SeededFleet::isReader(Instant Now) const {
  const auto Age = View_.age(Now);
  return !Age || *Age > ViewPatience ||
         Neighbours_.isResponsible(ReadingTask, Members_.self().Name_, Now);
}

void SeededFleet::read(Instant Now, OutputList &Output) {
  if (IsReading_ || Now < NextReadAt_)
    return;
  const bool IsWatchWanted = isReader(Now);
  if (!IsWatchWanted && !IsBehind_ && !IsListNeeded_)
    return;
  IsReading_ = true;
  IsBehind_ = false;
  if (IsListNeeded_ || !View_.hasList()) {
    Output.push_back(ReadRecords{std::nullopt, Duration{}});
    return;
  }
  // After a failure an answer at once tells how things stand.
  IsWatching_ = IsWatchWanted && Failures_ == 0;
  Output.push_back(
      ReadRecords{View_.revision(), IsWatching_ ? WatchWait : Duration{}});
}

void SeededFleet::noteAllRecords(const std::vector<StoredRecord> &Records,
                                 framework::Revision AsOf,
                                 framework::Moment Now, OutputList &Output) {
  IsReading_ = false;
  IsListNeeded_ = false;
  Failures_ = 0;
  RecordLog_.clear();
  tell(View_.replaceAll(Records, AsOf, Now.Monotonic_), Output);
  read(Now.Monotonic_, Output);
}

void SeededFleet::noteChangedRecords(const std::vector<StoredRecord> &Records,
                                     framework::Revision AsOf,
                                     framework::Moment Now,
                                     OutputList &Output) {
  IsReading_ = false;
  Failures_ = 0;
  // Neighbours may have told of some of it meanwhile.
  const framework::Revision Before = View_.revision();
  RecordLog_.note(Before, AsOf, newerThan(Before, Records), Now.Monotonic_);
  tell(View_.apply(newerThan(Before, Records), AsOf, Now.Monotonic_), Output);
  if (!Records.empty())
    NextReadAt_ =
        Now.Monotonic_ +
        std::min(LongestReadPause,
                 ReadPauseOfGroup * static_cast<std::int64_t>(groups()));
  shareNewRecords(Now.Monotonic_, Output);
  // The view is as young as it gets: neighbours learn it at once.
  NextRecordNoticeAt_ = Now.Monotonic_;
  shareRecords(Now.Monotonic_, Output);
  read(Now.Monotonic_, Output);
}

void SeededFleet::noteHistoryLost(framework::Moment Now, OutputList &Output) {
  IsReading_ = false;
  IsListNeeded_ = true;
  read(Now.Monotonic_, Output);
}

void SeededFleet::noteRecordsUnavailable(framework::Moment Now,
                                         OutputList &Output) {
  IsReading_ = false;
  const Duration Pause =
      FirstReadRetry * (1U << std::min(Failures_, MaxRetryDoublings));
  // A watch that was cut is ordinary: the first retry follows at once.
  NextReadAt_ = Now.Monotonic_;
  if (Failures_ > 0)
    NextReadAt_ += Pause / 2 + Duration(static_cast<Duration::rep>(Rng_.index(
                                   static_cast<std::size_t>(Pause.count()))));
  ++Failures_;
  read(Now.Monotonic_, Output);
}

void SeededFleet::tell(const StoreView::Changes &Changed, OutputList &Output) {
  for (const auto &[Key, Reason] : Changed.Rejected_)
    Output.push_back(RecordRejected{Key, Reason});
  if (Changed.IsDocumentNew_)
    Output.push_back(
        DocumentInForce{framework::Revision(View_.configuration().Version_)});
  if (Changed.AreTargetsNew_)
    Output.push_back(TargetsChanged{});
}

void SeededFleet::noteStopRequested(framework::Moment Now, OutputList &Output) {
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
  return View_.hasList() && View_.configuration().Document_;
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

std::size_t SeededFleet::groups() const {
  return (Members_.peak() + Neighbours::MaxSize - 1) / Neighbours::MaxSize;
}

Duration SeededFleet::probeInterval() const {
  const Duration ByBound = Duration(seconds(1)) *
                           static_cast<std::int64_t>(groups()) /
                           ProbesPerSecond;
  return std::max(ProbeInterval, ByBound);
}

bool SeededFleet::mayProbe(const framework::TargetName &Target,
                           Instant Now) const {
  // Each instance that probes a target opens a connection to it, which would be
  // too many when a large fleet starts.
  if (Now < StartedAt_ + FirstProbeDelay)
    return false;
  const Duration SinceOwn = Loads_.probeAge(Target, Now);
  if (!isSettled(Now))
    return SinceOwn >= SettlingTime &&
           Neighbours_.isResponsible(Target.value(), Members_.self().Name_,
                                     Now);
  if (Neighbours_.isResponsible(Target.value(), Members_.self().Name_, Now))
    return SinceOwn >= probeInterval();
  const Duration Patience =
      std::max(HealthPatience, probeInterval() * PatientIntervals);
  // Neighbours probe little before they have settled, and a new group has to
  // tell what it knows first.
  const Instant ListensSince =
      std::max(GroupFormedAt_, StartedAt_ + SettlingTime);
  const Duration Unheard =
      std::min(Loads_.healthAge(Target, Now), Now - ListensSince);
  return Unheard >= Patience && SinceOwn >= Patience;
}

void SeededFleet::noteProbed(const framework::TargetName &Target, Instant Now) {
  Loads_.noteProbed(Target, Now);
}

void SeededFleet::shareLoads(Instant Now, OutputList &Output) {
  if (!Loads_.hasNews() && Now < NextLoadNoticeAt_)
    return;
  NextLoadNoticeAt_ = Now + NoticeInterval;
  LoadNotice Notice;
  Notice.From_ = Members_.self().Name_;
  Notice.Incarnation_ = Members_.self().Incarnation_;
  Notice.Loads_ = Loads_.take(Now);
  sendToNeighbours(Notice, Output);
}

void SeededFleet::shareRecords(Instant Now, OutputList &Output) {
  const auto Age = View_.age(Now);
  // Only what this instance has read itself: words of neighbours would keep
  // each other young.
  if (Now < NextRecordNoticeAt_ || !View_.hasList() || !Age || !isReader(Now) ||
      Failures_ > 0)
    return;
  NextRecordNoticeAt_ = Now + NoticeInterval;
  RecordNotice Notice = makeRecordNotice(*Age);
  RecordLog_.fill(Notice, Now);
  sendToNeighbours(Notice, Output);
}

void SeededFleet::shareNewRecords(Instant Now, OutputList &Output) {
  if (!isReader(Now))
    return;
  NextRecordNoticeAt_ = Now + NoticeInterval;
  for (RecordNotice &Part : RecordLog_.takeNew()) {
    Part.From_ = Members_.self().Name_;
    Part.Incarnation_ = Members_.self().Incarnation_;
    sendToNeighbours(Part, Output);
  }
}

RecordNotice SeededFleet::makeRecordNotice(Duration Age) const {
  RecordNotice Notice;
  Notice.From_ = Members_.self().Name_;
  Notice.Incarnation_ = Members_.self().Incarnation_;
  Notice.AsOf_ = View_.revision();
  Notice.Age_ = Age;
  return Notice;
}

void SeededFleet::sendToNeighbours(const PeerMessage &Message,
                                   OutputList &Output) const {
  for (const auto &[Name, Address] : Neighbours_.addresses())
    Output.push_back(SendMessage{Address, Message});
}

void SeededFleet::handle(const LoadNotice &Message, framework::Moment Now,
                         OutputList &Output) {
  Neighbours_.noteHeard(Message.From_, Now.Monotonic_);
  for (const SharedLoad &Each : Message.Loads_) {
    Loads_.noteShared(Each, Now.Monotonic_);
    Output.push_back(
        LoadShared{Each.Target_, Each.Report_, Now.Monotonic_ - Each.Age_});
  }
}

void SeededFleet::handle(const RecordNotice &Message, framework::Moment Now,
                         OutputList &Output) {
  const Instant At = Now.Monotonic_;
  Neighbours_.noteHeard(Message.From_, At);
  const framework::Revision Before = View_.revision();
  if (!View_.hasList() || Message.AsOf_ < Before)
    return;
  if (Message.After_ > Before) {
    IsBehind_ = true;
    read(At, Output);
    return;
  }
  std::vector<StoredRecord> Records;
  for (const SharedRecord &Each : Message.Records_)
    if (Each.Revision_ > Before)
      Records.push_back({Each.Key_,
                         {Each.Value_.begin(), Each.Value_.end()},
                         Each.Revision_,
                         Each.IsDeleted_});
  RecordLog_.note(Before, Message.AsOf_, Records, At);
  RecordLog_.takeNew();
  tell(View_.apply(Records, Message.AsOf_, At - Message.Age_), Output);
}

} // namespace cranberryspool::fleet
