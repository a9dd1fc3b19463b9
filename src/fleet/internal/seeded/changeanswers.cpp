// Answers of the platform's metadata store to reads of changes.

#include "fleet/internal/seeded/storereplicator.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace cranberryspool::fleet {

using framework::Duration;
using framework::Instant;
using framework::Revision;

void StoreReplicator::handleChangedRecords(
    const std::vector<StoredRecord> &Records, Revision AsOf,
    const EventContext &Context) {
  handleChanges(Records, AsOf, false, Context);
}

void StoreReplicator::handlePartOfChanges(
    const std::vector<StoredRecord> &Records, Revision UpTo,
    const EventContext &Context) {
  handleChanges(Records, UpTo, true, Context);
}

void StoreReplicator::handleChanges(const std::vector<StoredRecord> &Records,
                                    Revision AsOf, bool IsPart,
                                    const EventContext &Context) {
  const bool WasBehind = isBehind(Context.Now_);
  const PendingRead Read = Reads_.end(ReadKind::Changes, Context.Now_);
  // Of a part it is not known which revision the store has reached.
  if (!IsPart)
    replaceIfContradicted(Records, AsOf, ReadKind::Changes, Read, Context);
  const Revision Before = View_.revision();
  const Revision From = std::max(Read.After_, Before);
  ConfirmedChanges Confirmed = Confirmation_.recordAnswer(
      Records, From, answeredAt(Read, !Records.empty(), Context.Now_));
  const bool IsIncomplete = Confirmed.IsChangeLeftOut_ ||
                            (!IsPart && lackKnownChange(Records, From, AsOf));
  if (IsIncomplete) {
    requireFullRead(Context.Now_);
    Confirmed = ConfirmedChanges{Before, std::nullopt, true};
  }
  if (!IsPart && !IsIncomplete)
    checkCounting(Records, From, AsOf, Confirmed, Context);
  // Of a part it is not known when the store stated what follows.
  if (IsPart)
    Confirmed.At_.reset();
  IsRestMissing_ = IsPart && !IsIncomplete;
  if (IsIncomplete || IsPart)
    reportIncompleteRead(IsIncomplete ? ViewEvent::StoreReadIncomplete
                                      : ViewEvent::StoreReadPartial,
                         Read, Records, AsOf, Context);
  else
    recordWholeAnswer(Read, Records, AsOf, Context);
  recordReadSuccess(AsOf, Context);
  View_.outages().recordAnswer(Read.StartedAt_, Context.Now_);
  applyAnswer(Records, AsOf, Confirmed, Context);
  if (!IsPart)
    compareWithView(Records, Context);
  if (!IsPart && !IsIncomplete && !Confirmation_.isPending())
    settleAnnouncement(Read, AsOf, Context);
  forgetReachedAnnouncement();
  reportProgress(ViewChanged::StoreSource, Context);
  const Duration Pause = pauseAfter(Read, Records, Context);
  if (Pause > Duration{} || !Records.empty())
    NextReadAt_ = Context.Now_ + Pause;
  shareAnswer(Before, WasBehind, Context);
  readIfDue(Context);
}

void StoreReplicator::recordWholeAnswer(
    const PendingRead &Read, const std::vector<StoredRecord> &Records,
    Revision AsOf, const EventContext &Context) {
  reportSlowRead(Read, Records, AsOf, Context);
  // How long the store held a watch that returns changes is not known.
  const bool IsTimeKnown = Records.empty() || Read.Wait_ == Duration{};
  Reads_.recordAnswer(
      ReadKind::Changes,
      IsTimeKnown ? std::optional(Context.Now_ - Read.StartedAt_ - Read.Wait_)
                  : std::nullopt);
}

void StoreReplicator::applyAnswer(const std::vector<StoredRecord> &Records,
                                  Revision AsOf,
                                  const ConfirmedChanges &Confirmed,
                                  const EventContext &Context) {
  const Revision Reached = std::max(Confirmed.UpTo_, View_.revision());
  // An answer from before a known change says nothing about the present.
  const bool IsPresent = Confirmed.At_ && AsOf >= View_.revision();
  if (IsPresent)
    AnsweredWallTime_ = Context.Wall_ - (Context.Now_ - *Confirmed.At_);
  reportChanges(IsPresent ? View_.apply(Records, Reached, *Confirmed.At_)
                          : View_.applyPart(Records, Reached, Context.Now_),
                ViewChanged::StoreSource, Context.Output_);
}

void StoreReplicator::settleAnnouncement(const PendingRead &Read, Revision AsOf,
                                         const EventContext &Context) {
  // A read that began after the last announcement has returned what was
  // announced, one that began earlier only what was announced until then.
  if (Read.StartedAt_ <= AnnouncedAt_) {
    GapSince_ = std::max(GapSince_, Read.StartedAt_);
    return;
  }
  if (isAnnouncedMissing() && IsAnnouncementExact_ &&
      AsOf >= *AnnouncedRevision_) {
    requireFullRead(Context.Now_);
    reportIncompleteRead(ViewEvent::StoreReadIncomplete, Read, {}, AsOf,
                         Context);
  }
  AnnouncedRevision_.reset();
}

bool StoreReplicator::lackKnownChange(const std::vector<StoredRecord> &Changes,
                                      Revision After, Revision UpTo) const {
  const std::vector<std::string> Known =
      View_.records().keysChanged(After, UpTo);
  if (Known.empty())
    return false;
  std::set<std::string_view> Returned;
  for (const StoredRecord &Each : Changes)
    Returned.insert(Each.Key_);
  return std::any_of(Known.begin(), Known.end(), [&](const std::string &Key) {
    return !Returned.contains(Key);
  });
}

void StoreReplicator::requireFullRead(Instant Now) {
  IsFullReadNeeded_ = true;
  LeftOutSeenAt_ = Now;
}

} // namespace cranberryspool::fleet
