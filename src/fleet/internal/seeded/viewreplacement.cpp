// Views that the own metadata store contradicts.

#include "fleet/internal/seeded/storedrecords.h"
#include "fleet/internal/seeded/storereplicator.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace cranberryspool::fleet {

namespace {

using framework::Duration;
using framework::Instant;
using framework::Revision;
using std::chrono::milliseconds;

/// Other instances are told of a replaced view this often, in case datagrams
/// are lost.
constexpr Duration NoticeInterval = milliseconds(200);
constexpr Duration NoticePeriod = milliseconds(700);
/// The own store has stated a revision recently if no longer ago than this.
constexpr Duration RecentStatementTime = std::chrono::seconds(2);

} // namespace

Revision StoreReplicator::newestKnown() const {
  return std::max(View_.revision(), View_.records().newestRevision());
}

Revision StoreReplicator::watchAfter(Instant Now) const {
  const auto Stated = lastStatement(Now);
  return Stated && Stated->Age_ < RecentStatementTime
             ? std::min(View_.revision(), Stated->Revision_)
             : View_.revision();
}

bool StoreReplicator::isSettling(Instant Now) const {
  // An instance that the store does not serve depends on others.
  return Check_.isSettling(Now) && Failures_ < FailuresOfUnavailableStore;
}

bool StoreReplicator::replaceIfContradicted(
    const std::vector<StoredRecord> &Records, Revision AsOf, ReadKind Kind,
    const PendingRead &Read, const EventContext &Context) {
  if (Read.IsStaleAllowed_)
    return false;
  const bool IsOfAllRecords = Kind == ReadKind::AllRecords;
  const bool IsRevisionLower = AsOf < Read.Known_;
  const std::string *Key = IsOfAllRecords && !IsRevisionLower
                               ? View_.findContradicted(Records, Read.Known_)
                               : nullptr;
  if (!IsRevisionLower && !Key) {
    Check_.recordAgreement(Read, Kind, Context.Now_);
    if (!Check_.isInDoubt())
      ContradictingAnswer_.reset();
    return false;
  }
  const bool WasInDoubt = Check_.isInDoubt();
  const bool IsDue =
      Check_.recordContradiction(Read, Kind, Key != nullptr, Context.Now_);
  if (!WasInDoubt && Check_.isInDoubt())
    reportContradiction(describeAnswer(Records, AsOf) +
                            (Key ? ", record " + *Key : std::string()),
                        Read.Known_, Context);
  if (IsOfAllRecords && Check_.isInDoubt())
    ContradictingAnswer_ =
        OwnAnswer{Records, AsOf, answeredAt(Read, false, Context.Now_)};
  const bool IsComplete =
      ContradictingAnswer_ &&
      (IsOfAllRecords || Read.After_ == ContradictingAnswer_->AsOf_);
  if (!IsDue || !IsComplete)
    return false;
  replaceView(*std::exchange(ContradictingAnswer_, std::nullopt), Context);
  return true;
}

void StoreReplicator::reportContradiction(const std::string &Answer,
                                          Revision Known,
                                          const EventContext &Context) const {
  ViewChanged Report{ViewEvent::Contradicted, Answer, ViewChanged::StoreSource};
  Report.Announced_ = Known;
  Context.Output_.push_back(std::move(Report));
}

void StoreReplicator::replaceView(const OwnAnswer &Answer,
                                  const EventContext &Context) {
  ViewChanged Report{ViewEvent::Replaced,
                     describeAnswer(Answer.Records_, Answer.AsOf_),
                     ViewChanged::StoreSource};
  Report.Elapsed_ = Check_.doubtTime(Context.Now_);
  Context.Output_.push_back(std::move(Report));
  AnsweredWallTime_ = Context.Wall_ - (Context.Now_ - Answer.At_);
  reportChanges(View_.reset(Answer.Records_, Answer.AsOf_, Answer.At_),
                ViewChanged::StoreSource, Context.Output_);
  forgetHistory();
  FullReadRevision_ = SentRevision_ = Answer.AsOf_;
  Check_.recordReplacement(Context.Now_);
  ++Replacements_;
  reportProgress(ViewChanged::StoreSource, Context);
  NoticesUntil_ = Context.Now_ + NoticePeriod;
  sendNotice(Context);
}

void StoreReplicator::forgetHistory() {
  Confirmation_ = AnswerConfirmation();
  HistoryCheck_ = HistoryCheck();
  AbsentKeys_.clear();
  Counting_ = RevisionCounting();
  MissingUpTo_.reset();
  Found_ = FoundRecords();
  LeftOutSeenAt_.reset();
  Advances_.clear();
  Reassembler_ = RecordReassembler();
  Compressed_.reset();
  AnnouncedRevision_.reset();
  Lead_.clear();
  IsRestMissing_ = IsFullReadNeeded_ = IsFullReadFailed_ = false;
}

void StoreReplicator::sendNotice(const EventContext &Context) {
  NextNoticeAt_ = Context.Now_ + NoticeInterval;
  const ViewReplaced Notice{.From_ = Context.self().Name_,
                            .Incarnation_ = Context.self().Incarnation_,
                            .Revision_ = View_.revision(),
                            .Digest_ = View_.records().digest()};
  Context.sendToGroup(Notice);
  if (Context.isGroupLeader())
    Context.sendTo(Context.Group_.groupRelays(), Notice);
  if (Context.isZoneLeader())
    Context.sendTo(Context.Group_.zoneRelays(), Notice);
}

void StoreReplicator::handle(const ViewReplaced &Message,
                             const EventContext &Context) {
  recordHeard(Message.From_, Context.Now_);
  const bool IsSame = Message.Revision_ == View_.revision() &&
                      Message.Digest_ == View_.records().digest();
  if (!View_.isLoaded() || IsSame)
    return;
  Check_.requireRead(ViewEvidence::RecordOfOther, Context.Now_);
  readIfDue(Context);
}

void StoreReplicator::compareWithView(const RecordUpdate &Message,
                                      const EventContext &Context) {
  const std::vector<StoredRecord> Records = storedRecords(Message.Records_);
  const bool IsRecordOther = std::any_of(
      Records.begin(), Records.end(),
      [this](const StoredRecord &Each) { return View_.isOtherValue(Each); });
  const Duration Age =
      std::max(Message.Age_, Context.Wall_ - Message.AnsweredAt_);
  if (IsRecordOther)
    Check_.requireRead(ViewEvidence::RecordOfOther, Context.Now_);
  else if (isImplausible(Message.ToRevision_) ||
           Lead_.isContradictedBy(Message, Context.Now_ - Age))
    Check_.requireRead(ViewEvidence::RevisionOfOther, Context.Now_);
  readIfDue(Context);
}

void StoreReplicator::compareWithStranger(const RecordUpdate &Message,
                                          Instant Now) {
  const auto IsOther = [this](const StoredRecord &Each) {
    const StoredRecord *Known = View_.records().find(Each.Key_);
    return View_.isOtherValue(Each) ||
           (Each.Revision_ <= View_.revision() &&
            (!Known || Known->Revision_ < Each.Revision_));
  };
  const std::vector<StoredRecord> Records = storedRecords(Message.Records_);
  if (View_.age(Now) && std::any_of(Records.begin(), Records.end(), IsOther))
    Check_.requireRead(ViewEvidence::RevisionOfOther, Now);
}

void StoreReplicator::checkRefused(const RecordUpdate &Message,
                                   const EventContext &Context) {
  const std::vector<StoredRecord> Records = storedRecords(Message.Records_);
  if (std::any_of(Records.begin(), Records.end(),
                  [this](const StoredRecord &Each) {
                    return View_.isRefusedConfiguration(Each);
                  }))
    Check_.requireRead(ViewEvidence::RecordOfOther, Context.Now_);
}

void StoreReplicator::compareWithView(const std::vector<StoredRecord> &Changes,
                                      const EventContext &Context) {
  std::set<std::string_view> Returned;
  for (const StoredRecord &Each : Changes)
    Returned.insert(Each.Key_);
  const auto IsOther = [&](const StoredRecord &Each) {
    const auto Known = View_.records().keysChanged(
        Revision(Each.Revision_.value() - 1), Each.Revision_);
    return View_.isOtherValue(Each) || View_.isRefusedConfiguration(Each) ||
           std::any_of(Known.begin(), Known.end(), [&](const std::string &Key) {
             return !Returned.contains(Key);
           });
  };
  if (std::any_of(Changes.begin(), Changes.end(), IsOther))
    Check_.requireRead(ViewEvidence::OwnChange, Context.Now_);
}

} // namespace cranberryspool::fleet
