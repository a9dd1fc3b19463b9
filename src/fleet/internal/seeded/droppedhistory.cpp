// Changes that the platform's metadata store has dropped from its history
// without saying so.

#include "fleet/internal/seeded/storedrecords.h"
#include "fleet/internal/seeded/storereplicator.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cranberryspool::fleet {

using framework::Revision;

void StoreReplicator::checkCutWatch(const ReadFailure &Failure,
                                    const PendingRead &Read,
                                    const EventContext &Context) {
  // A store that drops history cuts its watches.
  if (Failure.IsCut_ && Read.Wait_ > framework::Duration{})
    HistoryCheck_.require(Context.Now_);
}

void StoreReplicator::checkCounting(const std::vector<StoredRecord> &Changes,
                                    Revision From, Revision AsOf,
                                    const ConfirmedChanges &Confirmed,
                                    const EventContext &Context) {
  std::set<Revision> Revisions;
  for (const StoredRecord &Each : Changes)
    if (Each.Revision_ > From)
      Revisions.insert(Each.Revision_);
  const Revision Last = Revisions.empty() ? AsOf : *Revisions.rbegin();
  if (Last <= From)
    return;
  if (Last.value() - From.value() == Revisions.size()) {
    Counting_.recordContiguous(Revisions.size());
    return;
  }
  // A second read may return what the first one has left out.
  if (!Revisions.empty() && !Confirmed.At_)
    return;
  if (!Counting_.isByOne()) {
    Counting_.recordGap();
    return;
  }
  MissingUpTo_ = Last;
  HistoryCheck_.require(Context.Now_);
}

void StoreReplicator::settleMissingChange(
    const std::vector<StoredRecord> &News) {
  const auto MissingUpTo = std::exchange(MissingUpTo_, std::nullopt);
  // When a record was deleted is not known.
  const auto IsMissing = [&MissingUpTo](const StoredRecord &Each) {
    return Each.IsDeleted_ || Each.Revision_ <= *MissingUpTo;
  };
  if (MissingUpTo && std::none_of(News.begin(), News.end(), IsMissing))
    Counting_.recordGapWithoutLoss();
}

std::vector<StoredRecord>
StoreReplicator::findNews(const std::vector<StoredRecord> &Records,
                          Revision AsOf) const {
  std::vector<StoredRecord> News;
  std::set<std::string> Present;
  for (const StoredRecord &Each : Records) {
    Present.insert(Each.Key_);
    if (View_.records().isNewer(Each))
      News.push_back(Each);
  }
  for (const std::string &Key : View_.records().findMissing(Present, AsOf))
    News.push_back({Key, "", AsOf, true});
  return News;
}

bool StoreReplicator::holdUnconfirmed(std::vector<StoredRecord> &News,
                                      std::size_t ReturnedRecords) {
  std::set<std::string> Absent;
  for (const StoredRecord &Each : News)
    if (Each.IsDeleted_)
      Absent.insert(Each.Key_);
  const std::set<std::string> Before = std::exchange(AbsentKeys_, {});
  if (Absent.size() <= ReturnedRecords)
    return false;
  const bool IsAnyHeld =
      std::erase_if(News, [&Before](const StoredRecord &Each) {
        return Each.IsDeleted_ && !Before.contains(Each.Key_);
      }) > 0;
  AbsentKeys_ = std::move(Absent);
  return IsAnyHeld;
}

void StoreReplicator::applyChecked(const std::vector<StoredRecord> &News,
                                   bool IsAnyHeld, const PendingRead &Read,
                                   const EventContext &Context) {
  reportChanges(View_.applyAhead(News, Context.Now_), ViewChanged::StoreSource,
                Context.Output_);
  if (!News.empty() || IsAnyHeld)
    return;
  const framework::Instant AnsweredAt = answeredAt(Read, false, Context.Now_);
  AnsweredWallTime_ = Context.Wall_ - (Context.Now_ - AnsweredAt);
  View_.apply({}, View_.revision(), AnsweredAt);
}

void StoreReplicator::endHistoryCheck(const PendingRead &Read,
                                      bool IsToBeConfirmed,
                                      const std::vector<StoredRecord> &News,
                                      const EventContext &Context) {
  HistoryCheck_.recordAnswer(Read.StartedAt_);
  if (IsToBeConfirmed)
    HistoryCheck_.requireConfirmation(Context.Now_);
  if (!HistoryCheck_.isPending())
    settleMissingChange(News);
}

void StoreReplicator::reportFound(const PendingRead &Read, bool IsCheck,
                                  std::vector<StoredRecord> News,
                                  Revision Before,
                                  const EventContext &Context) {
  const bool IsLeftOut =
      std::any_of(News.begin(), News.end(), [Before](const StoredRecord &Each) {
        return Each.Revision_ <= Before;
      });
  if (News.empty() || (!IsCheck && !IsLeftOut))
    return;
  ViewChanged Report{ViewEvent::ChangesFound,
                     describeAnswer(News, View_.revision()),
                     ViewChanged::StoreSource};
  Report.Elapsed_ = Context.Now_ - Read.StartedAt_;
  Context.Output_.push_back(std::move(Report));
  Found_.add(News,
             {.OwnGroup_ = true,
              .OtherGroups_ = Context.isGroupLeader(),
              .OtherZones_ = Context.isZoneLeader()},
             Context.Now_);
  sendFound(Context);
}

void StoreReplicator::eraseUnused(std::vector<StoredRecord> &Records) const {
  std::erase_if(Records, [this](const StoredRecord &Each) {
    return View_.records().isNewer(Each);
  });
}

std::vector<StoredRecord>
StoreReplicator::listFoundByOther(const RecordUpdate &Message) const {
  std::vector<StoredRecord> News;
  if (Message.FromRevision_ != Message.ToRevision_)
    return News;
  for (StoredRecord &Each : storedRecords(Message.Records_))
    if (View_.records().isNewer(Each))
      News.push_back(std::move(Each));
  return News;
}

void StoreReplicator::applyOutdated(std::vector<StoredRecord> News,
                                    const framework::InstanceName &From,
                                    const EventContext &Context) {
  // A record from before a read of all records that has not returned it was
  // deleted since.
  std::erase_if(News, [this](const StoredRecord &Each) {
    return !Each.IsDeleted_ &&
           Each.Revision_ <= View_.records().completeSince();
  });
  reportChanges(View_.applyAhead(News, Context.Now_), From.value(),
                Context.Output_);
  passOnFound(From, std::move(News), Context);
}

void StoreReplicator::passOnFound(const framework::InstanceName &From,
                                  std::vector<StoredRecord> News,
                                  const EventContext &Context) {
  eraseUnused(News);
  // The instance that was asked a while ago may have found something since.
  const bool IsAnswer =
      Asked_ && Asked_->Name_ == From && Context.Now_ < AskedAt_ + RequestDelay;
  if (News.empty() || IsAnswer)
    return;
  // Another instance has found it first.
  MissingUpTo_.reset();
  const bool IsFromGroup = Context.Group_.isInGroup(From);
  const bool IsFromZone = Context.Group_.isInZone(From);
  const FoundRecipients Recipients{
      .OwnGroup_ = !IsFromGroup,
      .OtherGroups_ = !IsFromZone || (IsFromGroup && Context.isGroupLeader()),
      .OtherZones_ = IsFromZone && Context.isZoneLeader()};
  if (!Recipients.OwnGroup_ && !Recipients.OtherGroups_)
    return;
  Found_.add(News, Recipients, Context.Now_);
  sendFound(Context);
}

void StoreReplicator::sendFound(const EventContext &Context) {
  if (Check_.isInDoubt())
    return;
  const auto Send = [&](const PeerMessage &Message) {
    const FoundRecipients &Recipients = Found_.recipients();
    if (Recipients.OwnGroup_)
      Context.sendToGroup(Message);
    if (Recipients.OtherGroups_)
      Context.sendTo(Context.Group_.groupRelays(), Message);
    if (Recipients.OtherZones_)
      Context.sendTo(Context.Group_.zoneRelays(), Message);
  };
  for (RecordUpdate &Update :
       Found_.takeUpdates(View_.records(), View_.revision(), Context.Now_)) {
    stamp(Update, true, Context);
    Update.Incarnation_ = Context.self().Incarnation_;
    if (RecordTable::fitsInMessage(Update)) {
      Send(Update);
      continue;
    }
    const CompressedRecord *Large = compress(Update.Records_.front());
    if (!Large || Large->partCount() > MaxMessagesAtOnce)
      continue;
    for (std::uint32_t Index = 0; Index < Large->partCount(); ++Index) {
      RecordPart Part = Large->makePart(Update, Index);
      stamp(Part, true, Context);
      Send(Part);
    }
  }
}

} // namespace cranberryspool::fleet
