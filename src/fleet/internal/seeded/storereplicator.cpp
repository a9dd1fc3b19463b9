#include "fleet/internal/seeded/storereplicator.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cranberryspool::fleet {

namespace {

using framework::Duration;
using framework::Instant;
using framework::Revision;
using std::chrono::milliseconds;

/// The longest time for which the store may hold a watch open, which bounds the
/// age of the view.
constexpr Duration MaxWatchWait = milliseconds(1000);
constexpr Duration MinWatchWait = milliseconds(200);
/// The pause between a watch that returned changes and the next one. It grows
/// with the fleet, so that a store with many changes is not read for each one.
constexpr Duration WatchPausePerGroup = milliseconds(20);
constexpr Duration MaxWatchPause = milliseconds(400);
constexpr Duration InitialRetryDelay = milliseconds(100);
constexpr Duration MaxLeaderRetryDelay = milliseconds(400);
/// During an outage all instances read the store. The members of a group hear
/// of its end from their leader, so their retries are spread over a time that
/// grows with the fleet, and the store's load does not.
constexpr Duration MemberRetryDelayPerInstance = milliseconds(10);
constexpr std::uint32_t MaxRetryDoublings = 6;
/// How long a starting instance waits for updates before it reads the store.
/// The leader of a group reads first, the other members wait for its update.
constexpr Duration LeaderStartupWait = milliseconds(300);
constexpr Duration MemberStartupWait = milliseconds(600);
/// The store is read when the view is older than this: longer than a watch plus
/// the delivery of an update, and well below the time within which changes must
/// take effect.
constexpr Duration LeaderMaxViewAge = milliseconds(1300);
constexpr Duration MemberMaxViewAge = milliseconds(1500);
constexpr Duration MaxReadJitter = milliseconds(200);
/// Messages that were sent together may arrive reordered within this time.
constexpr Duration ReorderTolerance = milliseconds(100);
/// A group leader sends an update to its group at least this often.
constexpr Duration UpdateInterval = milliseconds(200);
/// Watches are interrupted in normal operation, so that a single failure does
/// not mean that the store is unavailable.
constexpr std::uint32_t FailuresOfUnavailableStore = 2;
constexpr const char *StoreSource = "store";

std::vector<StoredRecord>
recordsAfter(Revision Known, const std::vector<StoredRecord> &Records) {
  std::vector<StoredRecord> Newer;
  std::copy_if(
      Records.begin(), Records.end(), std::back_inserter(Newer),
      [&](const StoredRecord &Each) { return Each.Revision_ > Known; });
  return Newer;
}

} // namespace

StoreReplicator::StoreReplicator(RecordDecoder Decode,
                                 const FleetBounds &Bounds,
                                 framework::Random Rng)
    : View_(std::move(Decode), Bounds), Rng_(Rng),
      ReadJitter_(static_cast<Duration::rep>(
          Rng_.index(static_cast<std::size_t>(MaxReadJitter.count())))) {}

void StoreReplicator::tick(const EventContext &Context) {
  reportChanges(View_.expireMissing(Context.Now_), StoreSource,
                Context.Output_);
  reportProgress(AnnouncedBy_, Context);
  readIfDue(Context);
  if (Context.Now_ >= NextUpdateAt_ && Context.isGroupLeader())
    sendRecentChanges(Context);
}

bool StoreReplicator::isDiscoveryComplete(Instant Now) const {
  return Now >= StartedAt_ + LeaderStartupWait;
}

void StoreReplicator::recordGap(const RecordUpdate &Announcement, Instant Now) {
  if (!AnnouncedRevision_)
    GapSince_ = Now;
  if (AnnouncedRevision_ && *AnnouncedRevision_ >= Announcement.ToRevision_)
    return;
  AnnouncedRevision_ = Announcement.ToRevision_;
  AnnouncedBy_ = Announcement.From_.value();
}

bool StoreReplicator::isBehind(Instant Now) const {
  return AnnouncedRevision_ && *AnnouncedRevision_ > View_.revision() &&
         Now >= GapSince_ + ReorderTolerance;
}

bool StoreReplicator::isReadNeeded(const EventContext &Context) const {
  if (isBehind(Context.Now_))
    return true;
  const bool IsLeader = Context.isGroupLeader();
  const auto Age = View_.age(Context.Now_);
  if (!Age)
    return Context.Now_ >=
           StartedAt_ + (IsLeader ? LeaderStartupWait : MemberStartupWait);
  return *Age > (IsLeader ? LeaderMaxViewAge : MemberMaxViewAge + ReadJitter_);
}

void StoreReplicator::readIfDue(const EventContext &Context) {
  const Instant Now = Context.Now_;
  if (IsReading_ || Now < NextReadAt_)
    return;
  if (IsFullReadNeeded_ || !View_.isLoaded()) {
    // The first read may return stale records, since later changes follow from
    // a watch or from other instances.
    IsFullReadStale_ = !View_.isLoaded() && Failures_ == 0;
    IsReading_ = true;
    Context.Output_.push_back(
        ReadRecords{std::nullopt, Duration{}, IsFullReadStale_});
    return;
  }
  // After a failure the store must answer at once, so that the view is
  // refreshed without the wait of a watch.
  const bool IsWaitAllowed = Failures_ == 0 && View_.age(Now);
  const bool IsWatch =
      isDiscoveryComplete(Now) && IsWaitAllowed && Context.isZoneLeader();
  if (!IsWatch && !isReadNeeded(Context))
    return;
  IsReading_ = true;
  // The age of the view includes the pause after changes, so the pause does not
  // make other instances wait longer for an update.
  const Duration Wait =
      IsWatch ? std::max(MinWatchWait, MaxWatchWait - *View_.age(Now))
              : Duration{};
  Context.Output_.push_back(ReadRecords{View_.revision(), Wait});
}

void StoreReplicator::handleAllRecords(const std::vector<StoredRecord> &Records,
                                       Revision AsOf,
                                       const EventContext &Context) {
  IsReading_ = false;
  IsFullReadNeeded_ = false;
  recordReadSuccess(Context);
  Log_.clear();
  if (!IsFullReadStale_)
    AnsweredWallTime_ = Context.Wall_;
  reportChanges(IsFullReadStale_
                    ? View_.replaceAllStale(Records, AsOf, Context.Now_)
                    : View_.replaceAll(Records, AsOf, Context.Now_),
                StoreSource, Context.Output_);
  reportProgress(StoreSource, Context);
  readIfDue(Context);
}

void StoreReplicator::handleChangedRecords(
    const std::vector<StoredRecord> &Records, Revision AsOf,
    const EventContext &Context) {
  const bool WasBehind = isBehind(Context.Now_);
  IsReading_ = false;
  recordReadSuccess(Context);
  // Other instances may have sent some of these changes in the meantime.
  const Revision Before = View_.revision();
  const std::vector<StoredRecord> NewRecords = recordsAfter(Before, Records);
  AnsweredWallTime_ = Context.Wall_;
  Log_.append(Before, AsOf, NewRecords, Context.Now_);
  reportChanges(View_.apply(NewRecords, AsOf, Context.Now_), StoreSource,
                Context.Output_);
  AnnouncedRevision_.reset();
  reportProgress(StoreSource, Context);
  if (!Records.empty())
    NextReadAt_ =
        Context.Now_ +
        std::min(MaxWatchPause,
                 WatchPausePerGroup *
                     static_cast<std::int64_t>(Context.estimatedGroupCount()));
  // The view is as fresh as possible now, so it is sent on. An instance that
  // read the store only because it missed a message does not send what the
  // others already have.
  if (Context.isGroupLeader() || !WasBehind) {
    sendNewChanges(Context);
    sendRecentChanges(Context);
  }
  readIfDue(Context);
}

void StoreReplicator::handleHistoryLost(const EventContext &Context) {
  IsReading_ = false;
  IsFullReadNeeded_ = true;
  readIfDue(Context);
}

void StoreReplicator::recordReadSuccess(const EventContext &Context) {
  if (std::exchange(Failures_, 0) < FailuresOfUnavailableStore)
    return;
  ViewChanged Report{ViewEvent::StoreAvailable, StoreSource, StoreSource};
  Report.Elapsed_ = Context.Now_ - FailingSince_;
  Context.Output_.push_back(std::move(Report));
}

void StoreReplicator::handleReadFailure(const std::string &Reason,
                                        const EventContext &Context) {
  IsReading_ = false;
  if (Failures_ == 0)
    FailingSince_ = Context.Now_;
  if (Failures_ + 1 == FailuresOfUnavailableStore)
    Context.Output_.push_back(
        ViewChanged{ViewEvent::StoreUnavailable, Reason, StoreSource});
  const Duration MaxDelay =
      Context.isGroupLeader()
          ? MaxLeaderRetryDelay
          : std::max(MaxLeaderRetryDelay,
                     MemberRetryDelayPerInstance *
                         static_cast<Duration::rep>(
                             Context.Membership_.knownCount()));
  const Duration Delay = std::min(
      InitialRetryDelay * (1U << std::min(Failures_, MaxRetryDoublings)),
      MaxDelay);
  // Watches are interrupted in normal operation: retry the first time at once.
  NextReadAt_ = Context.Now_;
  if (Failures_ > 0)
    NextReadAt_ += Delay / 2 + Duration(static_cast<Duration::rep>(Rng_.index(
                                   static_cast<std::size_t>(Delay.count()))));
  ++Failures_;
  readIfDue(Context);
}

void StoreReplicator::reportChanges(const StoreView::Changes &Changed,
                                    const std::string &Source,
                                    OutputList &Output) const {
  for (const std::string &Key : Changed.Removed_)
    Output.push_back(ViewChanged{ViewEvent::TargetRemoved, Key, Source});
  for (const std::string &Key : Changed.Deferred_)
    Output.push_back(ViewChanged{ViewEvent::RemovalDeferred, Key, Source});
  for (const auto &[Key, Reason] : Changed.Rejected_)
    Output.push_back(RecordRejected{Key, Reason});
  if (Changed.IsDocumentChanged_)
    Output.push_back(
        DocumentApplied{Revision(View_.configuration().Version_), Source});
  if (Changed.AreTargetsChanged_)
    Output.push_back(TargetsChanged{});
}

void StoreReplicator::reportProgress(const std::string &Source,
                                     const EventContext &Context) {
  const bool IsBehindNow = isBehind(Context.Now_);
  if (IsBehindNow == IsBehindReported_)
    return;
  IsBehindReported_ = IsBehindNow;
  ViewChanged Report{IsBehindNow ? ViewEvent::Behind : ViewEvent::CaughtUp,
                     Context.self().Name_.value(), Source};
  if (IsBehindNow)
    Report.Announced_ = AnnouncedRevision_;
  else
    Report.Elapsed_ = Context.Now_ - GapSince_;
  Context.Output_.push_back(std::move(Report));
}

void StoreReplicator::sendRecentChanges(const EventContext &Context) {
  const auto Age = View_.age(Context.Now_);
  if (!Age)
    return;
  NextUpdateAt_ = Context.Now_ + UpdateInterval;
  RecordUpdate Update;
  Update.From_ = Context.self().Name_;
  Update.Incarnation_ = Context.self().Incarnation_;
  Update.ToRevision_ = View_.revision();
  Update.Age_ = *Age;
  Update.AnsweredAt_ = AnsweredWallTime_;
  Log_.addRecent(Update, Context.Now_);
  send(Update, Context);
}

void StoreReplicator::sendNewChanges(const EventContext &Context) {
  const Duration Age = View_.age(Context.Now_).value_or(Duration{});
  for (RecordUpdate &Update : Log_.takeUnsent()) {
    Update.From_ = Context.self().Name_;
    Update.Incarnation_ = Context.self().Incarnation_;
    Update.Age_ = Age;
    Update.AnsweredAt_ = AnsweredWallTime_;
    if (RecordLog::fitsInMessage(Update)) {
      send(Update, Context);
      continue;
    }
    for (RecordFragment &Fragment : splitRecord(Update)) {
      Fragment.From_ = Update.From_;
      Fragment.Age_ = Age;
      Fragment.AnsweredAt_ = AnsweredWallTime_;
      send(Fragment, Context);
    }
  }
}

void StoreReplicator::send(const PeerMessage &Message,
                           const EventContext &Context) const {
  Context.sendToGroup(Message);
  if (Context.isZoneLeader())
    Context.sendTo(Context.Group_.groupRelays(), Message);
}

void StoreReplicator::handle(const RecordFragment &Message,
                             const EventContext &Context) {
  if (const auto Update = Reassembler_.add(Message))
    handle(*Update, Context);
}

void StoreReplicator::handle(const RecordUpdate &Message,
                             const EventContext &Context) {
  const Revision Before = View_.revision();
  if (!View_.isLoaded() || Message.ToRevision_ < Before)
    return;
  if (Message.FromRevision_ > Before) {
    recordGap(Message, Context.Now_);
    return;
  }
  std::vector<StoredRecord> Records;
  for (const ReplicatedRecord &Each : Message.Records_)
    if (Each.Revision_ > Before)
      Records.push_back({Each.Key_,
                         {Each.Value_.begin(), Each.Value_.end()},
                         Each.Revision_,
                         Each.IsDeleted_});
  Log_.append(Before, Message.ToRevision_, Records, Context.Now_);
  // A clock difference may make the update look older, never younger than its
  // own age says.
  const Duration Age =
      std::max(Message.Age_, Context.Wall_ - Message.AnsweredAt_);
  reportChanges(View_.apply(Records, Message.ToRevision_, Context.Now_ - Age),
                Message.From_.value(), Context.Output_);
  if (View_.age(Context.Now_) == Age)
    AnsweredWallTime_ = Message.AnsweredAt_;
  if (AnnouncedRevision_ && *AnnouncedRevision_ <= View_.revision())
    AnnouncedRevision_.reset();
  reportProgress(Message.From_.value(), Context);
  // An update from outside the group is passed on by each relay that receives
  // it, since one of them may be slow.
  const bool IsFromOtherGroup = !Context.Group_.isInGroup(Message.From_);
  if (IsFromOtherGroup || Context.isGroupLeader())
    sendNewChanges(Context);
  else
    Log_.takeUnsent();
  if (IsFromOtherGroup && Context.Now_ >= NextUpdateAt_)
    sendRecentChanges(Context);
}

} // namespace cranberryspool::fleet
