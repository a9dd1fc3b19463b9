#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_STOREREPLICATOR_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_STOREREPLICATOR_H

#include "fleet/internal/seeded/answerconfirmation.h"
#include "fleet/internal/seeded/compressedrecord.h"
#include "fleet/internal/seeded/eventcontext.h"
#include "fleet/internal/seeded/foundrecords.h"
#include "fleet/internal/seeded/historycheck.h"
#include "fleet/internal/seeded/ownanswer.h"
#include "fleet/internal/seeded/readtiming.h"
#include "fleet/internal/seeded/recordreassembler.h"
#include "fleet/internal/seeded/revisioncounting.h"
#include "fleet/internal/seeded/storereads.h"
#include "fleet/internal/seeded/storeview.h"
#include "fleet/internal/seeded/viewcheck.h"
#include "fleet/internal/seeded/viewlead.h"
#include "fleet/recorddecoder.h"
#include "fleet/types/readfailure.h"
#include "fleet/types/recordpart.h"
#include "fleet/types/recordrequest.h"
#include "fleet/types/recordupdate.h"
#include "fleet/types/storeavailability.h"
#include "fleet/types/storedrecord.h"
#include "fleet/types/storestatement.h"
#include "fleet/types/transport.h"
#include "fleet/types/viewevent.h"
#include "fleet/types/viewreplaced.h"
#include "framework/ids.h"
#include "framework/random.h"
#include "framework/time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// Keeps the view of the platform's metadata store up to date. The leader of an
/// availability zone watches the store and sends changes to its peer group and
/// to the relays of the zone's other groups, which pass them on. An instance
/// that misses changes, or whose view gets too old, reads the store itself, and
/// asks other instances as long as the store does not answer.
class StoreReplicator {
public:
  StoreReplicator(RecordDecoder Decode, const FleetBounds &Bounds,
                  framework::Random Rng);

  const StoreView &view() const { return View_; }
  /// Returns what the store has last stated to this instance itself, or nothing
  /// before its first answer.
  std::optional<StoreStatement> lastStatement(framework::Instant Now) const;
  std::uint64_t replacements() const { return Replacements_; }
  /// Returns true while only the own store is believed.
  bool isSettling(framework::Instant Now) const;
  /// Returns true while other instances have announced a revision whose changes
  /// are missing here.
  bool isAnnouncedMissing() const {
    return AnnouncedRevision_ && *AnnouncedRevision_ > View_.revision();
  }

  /// Returns true while an update of the instance may answer a request.
  bool isAnswerExpected(const framework::InstanceName &From,
                        framework::Instant Now) const;

  void start(framework::Instant Now) { StartedAt_ = Now; }
  void tick(const EventContext &Context);

  void handleAllRecords(const std::vector<StoredRecord> &Records,
                        framework::Revision AsOf, const EventContext &Context);
  void handleChangedRecords(const std::vector<StoredRecord> &Records,
                            framework::Revision AsOf,
                            const EventContext &Context);
  /// Handles an answer that may lack the changes after `UpTo`: the view is not
  /// as fresh as its request, and the rest is read at once.
  void handlePartOfChanges(const std::vector<StoredRecord> &Records,
                           framework::Revision UpTo,
                           const EventContext &Context);
  /// Handles a failed watch: the store no longer holds the changes after the
  /// requested revision.
  void handleHistoryLost(const EventContext &Context);
  /// Handles the beginning of a large answer, whose end may take long. Other
  /// instances are told that more follows, so that they do not read the same.
  void handleAnswerArriving(ReadKind Kind, const EventContext &Context);
  void handleReadFailure(const ReadFailure &Failure,
                         const EventContext &Context);

  void handle(const RecordUpdate &Message, const EventContext &Context);
  void handle(const RecordPart &Message, const EventContext &Context);
  void handle(const StoreAvailability &Message, const EventContext &Context);
  void handle(const ViewReplaced &Message, const EventContext &Context);
  /// Compares the records that an instance has shown which is not known to
  /// belong to the fleet. They change nothing.
  void compareWithStranger(const RecordUpdate &Message, framework::Instant Now);
  /// Answers the request of the instance at `Address` with what it lacks and
  /// with what this instance knows of the store's availability.
  void answer(const RecordRequest &Message, const std::string &Address,
              Transport Via, const EventContext &Context);

private:
  /// The time after which an instance that is behind asks the next one.
  static constexpr framework::Duration RequestDelay =
      std::chrono::milliseconds(150);
  /// More than a store counts within the time that an instance may be behind
  /// without noticing it.
  static constexpr std::uint64_t MaxPlausibleAdvance = 20'000;
  /// The most messages in which a request is answered, and the most parts of a
  /// record that are sent without a request.
  static constexpr std::size_t MaxMessagesAtOnce = 32;

  /// Watches are interrupted in normal operation, so that a single failure does
  /// not mean that the store is unavailable.
  static constexpr std::uint32_t FailuresOfUnavailableStore = 2;

  void startFullRead(const EventContext &Context);
  /// Starts a read of the changes after a revision. The store may hold it for
  /// `Wait`.
  void startReadOfChanges(framework::Revision After, framework::Duration Wait,
                          const EventContext &Context);
  /// Starts a read or watch of the store when one is needed and due: beside one
  /// that is late, if it is of the other kind.
  void readIfDue(const EventContext &Context);
  void startFirstRead(const EventContext &Context);
  void startReadBeside(const EventContext &Context);
  /// Returns true when answers to reads of changes have come late recently.
  bool areChangesLate(framework::Instant Now) const {
    return Now < ChangesLateUntil_;
  }
  /// Returns true when this instance must read the store because other
  /// instances have not updated it in time.
  bool isReadNeeded(const EventContext &Context) const;
  /// Returns true when the view is too old, whether or not changes are known to
  /// be missing.
  bool isViewTooOld(const EventContext &Context) const;
  /// Returns true while other instances are expected to give what is missing.
  bool isHelpExpected(framework::Instant Now) const;
  /// Returns true when this instance knows that newer changes exist.
  bool areChangesMissing() const {
    return Reads_.isAnswerArriving() || IsRestMissing_ ||
           isAnnouncedMissing() || LeftOutSeenAt_.has_value();
  }
  /// Handles an answer to a read of changes. After a part of the changes,
  /// `AsOf` is the revision that it reaches.
  void handleChanges(const std::vector<StoredRecord> &Records,
                     framework::Revision AsOf, bool IsPart,
                     const EventContext &Context);
  /// Records how long an answer took that holds all changes.
  void recordWholeAnswer(const PendingRead &Read,
                         const std::vector<StoredRecord> &Records,
                         framework::Revision AsOf, const EventContext &Context);
  /// Applies the changes of an answer. The revision of the view follows only as
  /// far as they are confirmed.
  void applyAnswer(const std::vector<StoredRecord> &Records,
                   framework::Revision AsOf, const ConfirmedChanges &Confirmed,
                   const EventContext &Context);
  /// Handles what other instances had announced before an answer that holds all
  /// changes.
  void settleAnnouncement(const PendingRead &Read, framework::Revision AsOf,
                          const EventContext &Context);
  /// Handles the failure of a watch, which may be a sign of dropped history.
  void checkCutWatch(const ReadFailure &Failure, const PendingRead &Read,
                     const EventContext &Context);
  /// Handles the changes of an answer after `From`. Revisions without a change
  /// are a sign of dropped history if the store has counted by one so far.
  void checkCounting(const std::vector<StoredRecord> &Changes,
                     framework::Revision From, framework::Revision AsOf,
                     const ConfirmedChanges &Confirmed,
                     const EventContext &Context);
  void settleMissingChange(const std::vector<StoredRecord> &News);
  /// Returns what a read of all records brings that is not known: changes, and
  /// deletions, at the revision of the read.
  std::vector<StoredRecord> findNews(const std::vector<StoredRecord> &Records,
                                     framework::Revision AsOf) const;
  /// Applies a read of all records that nothing contradicts yet. The revision
  /// of the view stays: changes are read on from there.
  void applyChecked(const std::vector<StoredRecord> &News, bool IsAnyHeld,
                    const PendingRead &Read, const EventContext &Context);
  /// Removes the deletions that the absence from a read infers, unless the read
  /// before it lacked the same, where most records are absent. Returns true
  /// when there are any.
  bool holdUnconfirmed(std::vector<StoredRecord> &News,
                       std::size_t ReturnedRecords);
  /// Ends a check by a read that is not older than the view, unless it is to be
  /// confirmed by another one.
  void endHistoryCheck(const PendingRead &Read, bool IsToBeConfirmed,
                       const std::vector<StoredRecord> &News,
                       const EventContext &Context);
  /// Replaces the records of the view by those of a read.
  void replaceRecords(const std::vector<StoredRecord> &Records,
                      framework::Revision AsOf, const PendingRead &Read,
                      const EventContext &Context);
  /// Removes the records that the view has rejected: each read would bring them
  /// again.
  void eraseUnused(std::vector<StoredRecord> &Records) const;
  /// Handles what a read of all records has brought, `Before` the revision of
  /// the view at that time, and tells others when changes were left out.
  void reportFound(const PendingRead &Read, bool IsCheck,
                   std::vector<StoredRecord> News, framework::Revision Before,
                   const EventContext &Context);
  /// Returns what an update brings that states changes without leading on.
  std::vector<StoredRecord> listFoundByOther(const RecordUpdate &Message) const;
  /// Applies what an update from before the view's revision brings.
  void applyOutdated(std::vector<StoredRecord> News,
                     const framework::InstanceName &From,
                     const EventContext &Context);
  /// Passes on what was found, unless this instance is behind: answers to its
  /// requests have the same form.
  void passOnFound(const framework::InstanceName &From,
                   std::vector<StoredRecord> News, const EventContext &Context);
  void sendFound(const EventContext &Context);
  /// Returns the pause before the next read after an answer.
  framework::Duration pauseAfter(const PendingRead &Read,
                                 const std::vector<StoredRecord> &Records,
                                 const EventContext &Context) const;
  /// Returns true when changes from `After` to `UpTo` lack one that this
  /// instance knows.
  bool lackKnownChange(const std::vector<StoredRecord> &Changes,
                       framework::Revision After,
                       framework::Revision UpTo) const;
  /// Requires a read of all records that begins from now on, since a change is
  /// known to have been left out.
  void requireFullRead(framework::Instant Now);
  /// Handles the statement of an instance that newer changes are on their way
  /// to it.
  void recordPromise(const RecordUpdate &Message, framework::Instant Now);
  /// Returns true once this instance has run for long enough to know the
  /// members of its zone.
  bool isDiscoveryComplete(framework::Instant Now) const;
  /// Asks another instance for changes when they are needed and the store does
  /// not answer.
  void requestIfDue(const EventContext &Context);
  /// Returns true when a read is needed and either waits for its next try or
  /// has been under way for a while, and earlier while the store refuses reads.
  bool isHelpNeeded(const EventContext &Context) const;
  /// Returns true when neither an update of another instance nor an answer of
  /// the store has arrived for a while, and the store is not holding a watch.
  bool areUpdatesOverdue(framework::Instant Now) const;
  /// Reports that updates are overdue and whom this instance asks, once until
  /// another instance is heard.
  void reportOverdueUpdates(const MemberInfo &Asked,
                            const EventContext &Context);
  /// Returns true when the store refuses the reads of this instance and the
  /// view gets old.
  bool isDependentOnOthers(framework::Instant Now) const;
  /// Chooses how the next request is sent: over a connection when datagrams
  /// seem to be lost.
  Transport chooseTransport(const MemberInfo &Source,
                            const EventContext &Context);
  void reportLostDatagrams(const MemberInfo &Asked,
                           const EventContext &Context) const;
  /// Records that a message with changes has arrived from another instance.
  void recordHeard(const framework::InstanceName &From, framework::Instant Now);
  void sendAvailability(const std::string &Address, Transport Via,
                        const EventContext &Context) const;
  void sendRequest(const MemberInfo &Source, const EventContext &Context);
  /// Chooses the instance to ask: in turn the one that has announced a newer
  /// revision and any other, since a whole zone may lack the changes.
  const MemberInfo *chooseSource(const EventContext &Context);
  /// Records that another instance has reached a revision, from an update that
  /// cannot be applied, since earlier changes are missing here.
  void recordGap(framework::Revision Announced,
                 const framework::InstanceName &By, framework::Instant Now);
  /// Records that more changes follow after a revision, at another instance.
  void recordMore(framework::Revision After, const framework::InstanceName &By,
                  framework::Instant Now);
  void forgetReachedAnnouncement();
  /// Forgets that the sender announced more changes, which turned out to be
  /// none.
  void forgetAnnouncementOfMore(const RecordUpdate &Message);
  /// Returns the newest revision that is known, also of changes ahead of the
  /// view's revision.
  framework::Revision newestKnown() const;
  /// Returns the revision after which a watch begins. What other instances have
  /// told is read as well.
  framework::Revision watchAfter(framework::Instant Now) const;
  /// Compares an answer of the own store with the view, and replaces the view
  /// by the last read of all records once answers have contradicted it often
  /// enough. Returns true when it was replaced.
  bool replaceIfContradicted(const std::vector<StoredRecord> &Records,
                             framework::Revision AsOf, ReadKind Kind,
                             const PendingRead &Read,
                             const EventContext &Context);
  /// Reports the first answer that contradicts the view.
  void reportContradiction(const std::string &Answer, framework::Revision Known,
                           const EventContext &Context) const;
  /// Replaces the view, whatever it held.
  void replaceView(const OwnAnswer &Answer, const EventContext &Context);
  /// Forgets what rests on the revisions of another history.
  void forgetHistory();
  /// Tells other instances that the view was replaced.
  void sendNotice(const EventContext &Context);
  /// Requires a comparison with the own store when an update and the view
  /// cannot be of one history.
  void compareWithView(const RecordUpdate &Message,
                       const EventContext &Context);
  /// The same after an update whose configuration the view has refused.
  void checkRefused(const RecordUpdate &Message, const EventContext &Context);
  /// The same for changes of the own store, after they were applied.
  void compareWithView(const std::vector<StoredRecord> &Changes,
                       const EventContext &Context);
  /// Returns true for a revision that the store cannot have reached since this
  /// instance has read it. While the store does not answer, none is refused.
  bool isImplausible(framework::Revision Stated) const {
    return Failures_ == 0 &&
           Stated.value() > View_.revision().value() + MaxPlausibleAdvance;
  }
  /// Returns true for an update that leads to an earlier state than the view.
  bool isOutdated(const RecordUpdate &Message) const;
  /// Applies an update that leads on from the view's revision.
  StoreView::Changes applyNext(const RecordUpdate &Message,
                               const EventContext &Context);
  /// Returns true when the missing changes have not arrived within the
  /// tolerance for reordered messages.
  bool isBehind(framework::Instant Now) const;
  /// Reports the changes that an answer of the store or an update from another
  /// instance has brought.
  void reportChanges(const StoreView::Changes &Changed,
                     const std::string &Source, OutputList &Output) const;
  /// Reports when this instance starts or stops to be behind others.
  void reportProgress(const std::string &Source, const EventContext &Context);
  /// Returns the time for which the answer of a read that has ended certainly
  /// holds: it may have waited on its way, or while this process did not run.
  static framework::Instant answeredAt(const PendingRead &Read, bool HasChanges,
                                       framework::Instant Now);
  /// Applies the update of an instance whose view has reached the present
  /// state of the store.
  StoreView::Changes applyWhole(const RecordUpdate &Message,
                                const EventContext &Context);
  /// Returns the pause before the next watch, after one that has returned
  /// changes; `Age` is the age of the view.
  framework::Duration watchPause(framework::Duration Age,
                                 const EventContext &Context) const;
  /// Reports a read that took long or returned much, since other changes wait
  /// behind it.
  static void reportSlowRead(const PendingRead &Read, std::string Result,
                             std::size_t Bytes, const EventContext &Context);
  std::string describeAnswer(const std::vector<StoredRecord> &Records,
                             framework::Revision AsOf) const;
  void reportSlowRead(const PendingRead &Read,
                      const std::vector<StoredRecord> &Records,
                      framework::Revision AsOf,
                      const EventContext &Context) const;
  /// Reports an answer that lacks changes, before it is applied.
  void reportIncompleteRead(ViewEvent Event, const PendingRead &Read,
                            const std::vector<StoredRecord> &Records,
                            framework::Revision UpTo,
                            const EventContext &Context) const;
  /// Ends a series of failed reads with an answer that states a revision.
  void recordReadSuccess(framework::Revision Stated,
                         const EventContext &Context);
  /// Sends on what the store has answered to this instance.
  void shareAnswer(framework::Revision Before, bool WasBehind,
                   const EventContext &Context);
  /// Sends on what another instance has sent.
  void passOn(const RecordUpdate &Message, const EventContext &Context);
  /// Sends the revision and the age of the view, with the recent changes.
  void sendRecentChanges(const EventContext &Context);
  /// Returns true for a part of a record that an update of an admitted instance
  /// has announced, or that was requested. A part does not state the
  /// incarnation of its sender, whose name another fleet may have as well.
  bool isExpected(const RecordPart &Message) const;
  /// Sends the changes that were not sent before, in as many messages as
  /// needed.
  void sendNewChanges(const EventContext &Context);
  void send(const PeerMessage &Message, const EventContext &Context) const;
  /// Remembers when the view reached a new revision, for `sendRecentChanges`.
  void recordAdvance(framework::Revision Before, framework::Instant Now);
  /// Compresses a large record, unless the last one that was compressed or
  /// received is the same. Returns null when it is too large.
  const CompressedRecord *compress(const ReplicatedRecord &Record);
  /// Returns the known changes after a revision, though others may be missing:
  /// the receiver applies them, and its revision stays.
  std::vector<RecordUpdate> makeUpdatesAhead(framework::Revision After) const;
  /// Sends the parts of an update's only record that the request asks for.
  /// Returns the number of messages, or nothing when parts are left.
  std::optional<std::size_t> sendParts(const RecordUpdate &Update,
                                       const RecordRequest &Request,
                                       const std::string &Address,
                                       Transport Via, std::size_t Limit,
                                       const EventContext &Context);
  /// Sets the sender and the age of the view in an update or a part. Those that
  /// lead to an earlier revision than the view's say that more follows.
  /// `IsLast` is false for one that others follow: they may hold the later
  /// change of a key that this one lacks.
  template <typename Message>
  void stamp(Message &Update, bool IsLast, const EventContext &Context) const;

  /// The view has reached a new revision at a time.
  struct Advance {
    framework::Revision Before_;
    framework::Instant At_{};
  };

  ReadTiming Timing_;
  StoreReads Reads_;
  StoreView View_;
  AnswerConfirmation Confirmation_;
  HistoryCheck HistoryCheck_;
  ViewCheck Check_;
  /// The last read of all records that has contradicted the view.
  std::optional<OwnAnswer> ContradictingAnswer_;
  std::uint64_t Replacements_ = 0;
  /// Until then, other instances are told that the view was replaced.
  framework::Instant NoticesUntil_{};
  framework::Instant NextNoticeAt_{};
  ViewLead Lead_;
  /// The keys whose records the last check was the first one to lack.
  std::set<std::string> AbsentKeys_;
  RevisionCounting Counting_;
  /// A change is missing at this revision or before it, if the store counts by
  /// one, until a read of all records shows which.
  std::optional<framework::Revision> MissingUpTo_;
  FoundRecords Found_;
  /// When an answer or an update was last known to leave out a change, until a
  /// read of all records that began later is answered.
  std::optional<framework::Instant> LeftOutSeenAt_;
  /// The revision of the last read of all records that was not stale.
  framework::Revision FullReadRevision_;
  /// The advances whose changes are still sent repeatedly, oldest first.
  std::deque<Advance> Advances_;
  /// The changes up to this revision have been sent, or need not be.
  framework::Revision SentRevision_;
  RecordReassembler Reassembler_;
  std::optional<CompressedRecord> Compressed_;
  framework::Random Rng_;
  /// Added to the maximum age of the view, so that instances that miss the same
  /// update do not all read the store at once.
  framework::Duration ReadJitter_;
  framework::Instant StartedAt_{};
  /// The newest revision that other instances have announced while the changes
  /// that lead to it are missing here.
  std::optional<framework::Revision> AnnouncedRevision_;
  /// Whether it is the revision of another instance's view, or the next one
  /// after a part of the changes.
  bool IsAnnouncementExact_ = false;
  framework::InstanceName AnnouncedBy_;
  framework::Instant AnnouncedAt_{};
  /// The instance that was asked last, and the view at that time.
  std::optional<MemberInfo> Asked_;
  framework::Instant AskedAt_{};
  bool IsLastRequestAnswered_ = true;
  /// Until then requests go over connections, since one had no answer.
  framework::Instant ConnectionsUntil_{};
  bool AreDatagramsLost_ = false;
  framework::Revision RevisionAtRequest_;
  /// After this part of a large record, the next ones are requested.
  std::uint32_t LastRequestedPart_ = 0;
  framework::Instant NextRequestAt_{};
  framework::Duration NextRequestDelay_ = RequestDelay;
  framework::Instant GapSince_{};
  /// When the last message with changes arrived from another instance.
  framework::Instant HeardAt_{};
  /// Whether it was reported since then that updates are overdue.
  bool AreOverdueUpdatesReported_ = false;
  /// When another instance last gave a part of what is missing.
  framework::Instant HelpedAt_{};
  /// When another instance last stated that what is missing is on its way to
  /// it.
  framework::Instant PromisedAt_{};
  bool IsBehindReported_ = false;
  /// Whether the last answer may lack later changes.
  bool IsRestMissing_ = false;
  bool IsFullReadNeeded_ = true;
  /// Whether the last read that ended was one of all records and has failed.
  bool IsFullReadFailed_ = false;
  /// Until then, an instance whose view is too old reads all records.
  framework::Instant ChangesLateUntil_{};
  /// When the store last answered a read of this instance.
  framework::Instant AnswerReceivedAt_{};
  /// The revision that this answer stated.
  std::optional<framework::Revision> StatedRevision_;
  std::uint32_t Failures_ = 0;
  /// Whether a connection to the store has ended or was refused since its last
  /// answer.
  bool WasCutOff_ = false;
  framework::Instant FailingSince_{};
  framework::Instant NextReadAt_{};
  framework::Instant NextUpdateAt_{};
  /// The wall-clock time at which the store gave the answer that the view is
  /// based on, to this or another instance.
  framework::WallTime AnsweredWallTime_{};
};

template <typename Message>
void StoreReplicator::stamp(Message &Update, bool IsLast,
                            const EventContext &Context) const {
  Update.From_ = Context.self().Name_;
  const bool IsPresent =
      IsLast && Update.ToRevision_ == View_.revision() && !areChangesMissing();
  Update.Age_ = IsPresent
                    ? View_.age(Context.Now_).value_or(framework::Duration{})
                    : RecordUpdate::MoreFollows;
  Update.AnsweredAt_ = AnsweredWallTime_;
}

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_STOREREPLICATOR_H
