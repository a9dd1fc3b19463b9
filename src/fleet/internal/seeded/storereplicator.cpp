#include "fleet/internal/seeded/storereplicator.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

using framework::Duration;
using framework::Instant;
using framework::Revision;
using std::chrono::milliseconds;

constexpr Duration MinWatchWait = milliseconds(200);
/// The pause between a watch that returned changes and the next one. It grows
/// with the fleet, so that a store with many changes is not read for each one.
constexpr Duration WatchPausePerGroup = milliseconds(20);
constexpr Duration MaxWatchPause = milliseconds(400);
/// The pause ends earlier when the view would be older than this.
constexpr Duration MaxAgeAfterPause = milliseconds(600);
/// The pause after a watch that the store has ended early without a change.
constexpr Duration EndedWatchPause = milliseconds(200);
/// The pause before changes are read a second time.
constexpr Duration ConfirmationPause = milliseconds(50);
constexpr Duration InitialRetryDelay = milliseconds(100);
/// Of leaders, and of instances that are known to be behind.
constexpr Duration MaxUrgentRetryDelay = milliseconds(400);
/// During an outage all instances read the store. The members of a group hear
/// of its end from their leader, so their retries are spread over a time that
/// grows with the fleet, and the store's load does not.
constexpr Duration MemberRetryDelayPerInstance = milliseconds(10);
constexpr std::uint32_t MaxRetryDoublings = 6;
/// How long a starting instance waits for updates before it reads the store.
/// The leader of a group reads first, the other members wait for its update.
constexpr Duration LeaderStartupWait = milliseconds(300);
constexpr Duration MemberStartupWait = milliseconds(600);
/// After a late answer to a read of changes, reads of all records come first
/// for this long.
constexpr Duration LateChangesPeriod = milliseconds(10'000);
/// Messages that were sent together may arrive reordered within this time.
constexpr Duration ReorderTolerance = milliseconds(100);
/// What is missing is read from the store when other instances have neither
/// given a part of it nor stated that it is on its way to them for this long.
/// They send a large record compressed, while the answer of the store fills a
/// slow link.
constexpr Duration PeerPatience = milliseconds(250);
/// The longest time for which a statement is relied on: that of an answer of
/// the largest size on a link of 10 Mbit/s.
constexpr Duration MaxPromiseTime = milliseconds(1300);
} // namespace

StoreReplicator::StoreReplicator(RecordDecoder Decode,
                                 const FleetBounds &Bounds,
                                 framework::Random Rng)
    : Timing_(Bounds.ChangeTime_), Reads_(Timing_),
      View_(std::move(Decode), Bounds), Rng_(Rng),
      ReadJitter_(static_cast<Duration::rep>(Rng_.index(
          static_cast<std::size_t>(ReadTiming::MaxReadJitter.count())))) {}

void StoreReplicator::tick(const EventContext &Context) {
  reportChanges(View_.expireMissing(Context.Now_), ViewChanged::StoreSource,
                Context.Output_);
  reportProgress(AnnouncedBy_.value(), Context);
  readIfDue(Context);
  requestIfDue(Context);
  if (Context.Now_ >= NextUpdateAt_ && Context.isGroupLeader())
    sendRecentChanges(Context);
  if (Found_.isDue(Context.Now_))
    sendFound(Context);
  if (Context.Now_ < NoticesUntil_ && Context.Now_ >= NextNoticeAt_)
    sendNotice(Context);
}

bool StoreReplicator::isDiscoveryComplete(Instant Now) const {
  return Now >= StartedAt_ + LeaderStartupWait;
}

void StoreReplicator::recordGap(Revision Announced,
                                const framework::InstanceName &By,
                                Instant Now) {
  if (!AnnouncedRevision_)
    GapSince_ = Now;
  if (AnnouncedRevision_ && *AnnouncedRevision_ >= Announced)
    return;
  AnnouncedRevision_ = Announced;
  IsAnnouncementExact_ = true;
  AnnouncedBy_ = By;
  AnnouncedAt_ = Now;
  // The store answers others, so that the delay after an outage is over.
  NextReadAt_ = std::min(NextReadAt_, Now + MaxUrgentRetryDelay);
  NextRequestAt_ = std::min(NextRequestAt_, Now + ReorderTolerance);
}

void StoreReplicator::recordMore(Revision After,
                                 const framework::InstanceName &By,
                                 Instant Now) {
  const Revision Next(After.value() + 1);
  recordGap(Next, By, Now);
  if (AnnouncedRevision_ == Next)
    IsAnnouncementExact_ = false;
}

void StoreReplicator::forgetReachedAnnouncement() {
  if (!isAnnouncedMissing())
    AnnouncedRevision_.reset();
}

bool StoreReplicator::isBehind(Instant Now) const {
  return isAnnouncedMissing() && Now >= GapSince_ + ReorderTolerance;
}

bool StoreReplicator::isHelpExpected(Instant Now) const {
  if (!isAnnouncedMissing())
    return false;
  const bool IsArriving =
      Now < HelpedAt_ + PeerPatience && Now < GapSince_ + Timing_.MaxHelpTime_;
  const bool IsPromised =
      Now < PromisedAt_ + PeerPatience &&
      Now < GapSince_ + std::min(MaxPromiseTime, Timing_.MaxHelpTime_);
  return IsArriving || IsPromised;
}

bool StoreReplicator::isReadNeeded(const EventContext &Context) const {
  const Instant Now = Context.Now_;
  if (isHelpExpected(Now))
    return false;
  return isViewTooOld(Context) ||
         (isBehind(Now) && Now >= GapSince_ + PeerPatience);
}

bool StoreReplicator::isViewTooOld(const EventContext &Context) const {
  const bool IsLeader = Context.isGroupLeader();
  const auto Age = View_.age(Context.Now_);
  if (!Age)
    return Context.Now_ >=
           StartedAt_ + (IsLeader ? LeaderStartupWait : MemberStartupWait);
  const Duration MaxAge = areChangesLate(Context.Now_)
                              ? Timing_.MaxViewAgeWhileLate_
                              : Timing_.MaxViewAge_;
  return *Age > (IsLeader ? MaxAge : MaxAge + ReadJitter_);
}

void StoreReplicator::startFullRead(const EventContext &Context) {
  // The first read may return stale records, since later changes follow from a
  // watch or from other instances.
  const bool IsStaleAllowed = !View_.isLoaded() && Failures_ == 0;
  HistoryCheck_.recordStart(Context.Now_);
  Check_.recordStart(Context.Now_);
  Reads_.start(ReadKind::AllRecords, {.StartedAt_ = Context.Now_,
                                      .Known_ = newestKnown(),
                                      .IsStaleAllowed_ = IsStaleAllowed});
  Context.Output_.push_back(ReadRecords{
      .After_ = std::nullopt,
      .TimeLimit_ = Reads_.timeLimit(ReadKind::AllRecords, View_.isLoaded()),
      .IsStaleAllowed_ = IsStaleAllowed});
}

void StoreReplicator::startReadOfChanges(Revision After, Duration Wait,
                                         const EventContext &Context) {
  Reads_.start(ReadKind::Changes, {.StartedAt_ = Context.Now_,
                                   .Wait_ = Wait,
                                   .After_ = After,
                                   .Known_ = newestKnown()});
  Context.Output_.push_back(
      ReadRecords{.After_ = After,
                  .Wait_ = Wait,
                  .TimeLimit_ = Reads_.timeLimit(ReadKind::Changes, true)});
}

void StoreReplicator::readIfDue(const EventContext &Context) {
  const bool IsCheckDue =
      Failures_ == 0 && (Check_.isFullReadDue(Context.Now_) ||
                         Check_.isReadOfChangesDue(Context.Now_));
  if (Context.Now_ < NextReadAt_ && !IsCheckDue)
    return;
  if (Reads_.isIdle())
    startFirstRead(Context);
  else
    startReadBeside(Context);
}

void StoreReplicator::startFirstRead(const EventContext &Context) {
  const Instant Now = Context.Now_;
  if (IsFullReadNeeded_ || !View_.isLoaded() || HistoryCheck_.isDue(Now) ||
      Check_.isFullReadDue(Now)) {
    startFullRead(Context);
    return;
  }
  if (Check_.isReadOfChangesDue(Now)) {
    startReadOfChanges(ContradictingAnswer_->AsOf_, Duration{}, Context);
    return;
  }
  // After a failure the store must answer at once, so that the view is
  // refreshed without the wait of a watch.
  const bool IsCutShort = Failures_ > 0 && HistoryCheck_.isPending();
  const bool IsRestDue =
      IsRestMissing_ || Confirmation_.isPending() || IsCutShort;
  const bool IsWaitAllowed = Failures_ == 0 && !IsRestDue && View_.age(Now);
  const bool IsWatch = isDiscoveryComplete(Now) && IsWaitAllowed &&
                       (Context.isZoneLeader() || isSettling(Now));
  if (!IsWatch && !IsRestDue && !isReadNeeded(Context))
    return;
  if (!IsWatch && areChangesLate(Now) && !IsFullReadFailed_) {
    startFullRead(Context);
    return;
  }
  // The age of the view includes the pause after changes, so the pause does not
  // make other instances wait longer for an update.
  const bool IsLong = IsWatch && !areChangesLate(Now);
  startReadOfChanges(
      IsWatch ? watchAfter(Now) : View_.revision(),
      IsLong ? std::max(MinWatchWait, Timing_.MaxWatchWait_ - *View_.age(Now))
      : IsWatch ? MinWatchWait
                : Duration{},
      Context);
}

void StoreReplicator::startReadBeside(const EventContext &Context) {
  const bool IsChangesUnderWay = Reads_.isUnderWay(ReadKind::Changes);
  if (IsRestMissing_ && !IsChangesUnderWay) {
    startReadOfChanges(View_.revision(), Duration{}, Context);
    return;
  }
  const bool IsFullUnderWay = Reads_.isUnderWay(ReadKind::AllRecords);
  const bool IsFullDue = IsFullReadNeeded_ ||
                         HistoryCheck_.isDue(Context.Now_) ||
                         Check_.isFullReadDue(Context.Now_);
  if (IsFullDue && !IsFullUnderWay) {
    startFullRead(Context);
    return;
  }
  if (Check_.isReadOfChangesDue(Context.Now_)) {
    // Takes the place of a watch.
    startReadOfChanges(ContradictingAnswer_->AsOf_, Duration{}, Context);
    return;
  }
  const bool IsLate = Reads_.areLate(Context.Now_);
  const bool IsExpectedLate = IsChangesUnderWay && areChangesLate(Context.Now_);
  const bool IsCheckUnderWay = IsFullUnderWay && HistoryCheck_.isPending();
  if ((!IsLate && !IsExpectedLate && !IsCheckUnderWay) ||
      !isReadNeeded(Context))
    return;
  if (!IsFullUnderWay) {
    if (IsLate)
      ChangesLateUntil_ = Context.Now_ + LateChangesPeriod;
    startFullRead(Context);
  } else if (!IsChangesUnderWay && View_.isLoaded()) {
    startReadOfChanges(View_.revision(), Duration{}, Context);
  }
}

void StoreReplicator::handleAllRecords(const std::vector<StoredRecord> &Records,
                                       Revision AsOf,
                                       const EventContext &Context) {
  const PendingRead Read = Reads_.end(ReadKind::AllRecords, Context.Now_);
  IsRestMissing_ = false;
  IsFullReadFailed_ = false;
  Reads_.recordAnswer(ReadKind::AllRecords, Context.Now_ - Read.StartedAt_);
  reportSlowRead(Read, Records, AsOf, Context);
  recordReadSuccess(AsOf, Context);
  View_.outages().recordAnswer(Read.StartedAt_, Context.Now_);
  const Revision Before = View_.revision();
  auto News = View_.isLoaded() && !Read.IsStaleAllowed_
                  ? findNews(Records, AsOf)
                  : std::vector<StoredRecord>();
  const bool IsCheck = HistoryCheck_.isPending();
  const bool IsAnyHeld = IsCheck && holdUnconfirmed(News, Records.size());
  const bool IsCheckOnly = IsCheck && !IsFullReadNeeded_ && AsOf >= Before;
  if (IsCheckOnly)
    applyChecked(News, IsAnyHeld, Read, Context);
  else
    replaceRecords(Records, AsOf, Read, Context);
  if (replaceIfContradicted(Records, AsOf, ReadKind::AllRecords, Read,
                            Context)) {
    // The read of changes under way begins after a revision of another history.
    Reads_.end(ReadKind::Changes, Context.Now_);
    NextReadAt_ = Context.Now_;
    readIfDue(Context);
    return;
  }
  eraseUnused(News);
  if (IsAnyHeld && !IsCheckOnly)
    MissingUpTo_.reset();
  if (IsCheck && AsOf >= Before)
    endHistoryCheck(Read, IsAnyHeld && IsCheckOnly, News, Context);
  reportFound(Read, IsCheck, std::move(News), Before, Context);
  readIfDue(Context);
}

void StoreReplicator::replaceRecords(const std::vector<StoredRecord> &Records,
                                     Revision AsOf, const PendingRead &Read,
                                     const EventContext &Context) {
  const Instant AnsweredAt = answeredAt(Read, false, Context.Now_);
  if (!Read.IsStaleAllowed_)
    AnsweredWallTime_ = Context.Wall_ - (Context.Now_ - AnsweredAt);
  const auto Changed = Read.IsStaleAllowed_
                           ? View_.replaceAllStale(Records, AsOf, Context.Now_)
                           : View_.replaceAll(Records, AsOf, AnsweredAt);
  reportChanges(Changed, ViewChanged::StoreSource, Context.Output_);
  if (!Read.IsStaleAllowed_)
    FullReadRevision_ = AsOf;
  if (!Read.IsStaleAllowed_ && LeftOutSeenAt_ &&
      Read.StartedAt_ >= *LeftOutSeenAt_)
    LeftOutSeenAt_.reset();
  IsFullReadNeeded_ = LeftOutSeenAt_.has_value();
  forgetReachedAnnouncement();
  reportProgress(ViewChanged::StoreSource, Context);
  // What was deleted before is not known completely, so that others have to
  // read the changes themselves.
  SentRevision_ = View_.revision();
  Advances_.clear();
}

Duration StoreReplicator::pauseAfter(const PendingRead &Read,
                                     const std::vector<StoredRecord> &Records,
                                     const EventContext &Context) const {
  if (IsRestMissing_ || IsFullReadNeeded_ || HistoryCheck_.isDue(Context.Now_))
    return Duration{};
  if (Confirmation_.isPending())
    return ConfirmationPause;
  if (Check_.isInDoubt())
    return ViewCheck::ReadInterval;
  if (!Records.empty()) {
    const Instant AnsweredAt = answeredAt(Read, true, Context.Now_);
    return watchPause(Context.Now_ - AnsweredAt, Context);
  }
  const bool IsEndedEarly = Context.Now_ < Read.StartedAt_ + Read.Wait_;
  return IsEndedEarly ? EndedWatchPause : Duration{};
}

Duration StoreReplicator::watchPause(Duration Age,
                                     const EventContext &Context) const {
  const Duration Pause =
      std::min(MaxWatchPause,
               WatchPausePerGroup *
                   static_cast<std::int64_t>(Context.estimatedGroupCount()));
  return std::clamp(MaxAgeAfterPause - Age, Duration{}, Pause);
}

void StoreReplicator::handleAnswerArriving(ReadKind Kind,
                                           const EventContext &Context) {
  Reads_.markArriving(Kind);
  if (Context.isGroupLeader())
    sendRecentChanges(Context);
}

void StoreReplicator::handleHistoryLost(const EventContext &Context) {
  Reads_.end(ReadKind::Changes, Context.Now_);
  IsFullReadNeeded_ = true;
  readIfDue(Context);
}

Instant StoreReplicator::answeredAt(const PendingRead &Read, bool HasChanges,
                                    Instant Now) {
  // A watch without changes is answered when its wait is over. One with changes
  // may have been answered at any time, and held up on its way.
  const Duration Wait = HasChanges ? Duration{} : Read.Wait_;
  return std::min(Now, Read.StartedAt_ + Wait);
}

void StoreReplicator::recordReadSuccess(Revision Stated,
                                        const EventContext &Context) {
  AnswerReceivedAt_ = Context.Now_;
  StatedRevision_ = Stated;
  Lead_.settle(Stated);
  // Another store may have taken its place.
  if (std::exchange(WasCutOff_, false) &&
      Failures_ >= FailuresOfUnavailableStore && Context.isGroupLeader())
    HistoryCheck_.require(Context.Now_);
  // The delay after a failed read of the other kind is over.
  if (Failures_ > 0)
    NextReadAt_ = Context.Now_;
  if (std::exchange(Failures_, 0) < FailuresOfUnavailableStore)
    return;
  ViewChanged Report{ViewEvent::StoreAvailable, ViewChanged::StoreSource,
                     ViewChanged::StoreSource};
  Report.Elapsed_ = Context.Now_ - FailingSince_;
  Context.Output_.push_back(std::move(Report));
}

void StoreReplicator::handleReadFailure(const ReadFailure &Failure,
                                        const EventContext &Context) {
  const std::string &Reason = Failure.Reason_;
  const PendingRead Read = Reads_.end(Failure.Kind_, Context.Now_);
  reportSlowRead(Read, Reason, 0, Context);
  checkCutWatch(Failure, Read, Context);
  WasCutOff_ = WasCutOff_ || (Failure.IsCut_ && !Failure.IsTimeout_);
  if (Failure.IsTimeout_)
    Reads_.recordTimeout(Failure.Kind_);
  if (Failure.IsTimeout_ && Failure.Kind_ == ReadKind::Changes)
    ChangesLateUntil_ = Context.Now_ + LateChangesPeriod;
  // The store has answered another read in the meantime.
  if (AnswerReceivedAt_ > Read.StartedAt_) {
    readIfDue(Context);
    return;
  }
  if (!Failure.IsTimeout_ ||
      StoreReads::isLongest(Context.Now_ - Read.StartedAt_ - Read.Wait_))
    View_.outages().recordFailure();
  // While all reads fail, those of changes are tried in turn: their answers are
  // smaller.
  IsFullReadFailed_ = Failure.Kind_ == ReadKind::AllRecords;
  if (Failures_ == 0)
    FailingSince_ = Context.Now_;
  if (Failures_ + 1 == FailuresOfUnavailableStore)
    Context.Output_.push_back(ViewChanged{ViewEvent::StoreUnavailable, Reason,
                                          ViewChanged::StoreSource});
  const Duration MaxDelay =
      Context.isGroupLeader() || isAnnouncedMissing()
          ? MaxUrgentRetryDelay
          : std::max(MaxUrgentRetryDelay,
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

void StoreReplicator::recordPromise(const RecordUpdate &Message, Instant Now) {
  // The store has just stated the opposite: the sender may not know yet.
  const auto Age = View_.age(Now);
  if (Age && *Age < PeerPatience)
    return;
  PromisedAt_ = Now;
  recordMore(Message.ToRevision_, Message.From_, Now);
}

} // namespace cranberryspool::fleet
