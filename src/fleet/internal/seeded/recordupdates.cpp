// Updates with which an instance passes changes of the platform's metadata
// store on to others.

#include "fleet/internal/seeded/storereplicator.h"

#include <utility>

namespace cranberryspool::fleet {

namespace {

using framework::Duration;
using framework::Instant;
using framework::Revision;
using std::chrono::milliseconds;

/// A group leader sends an update to its group at least this often.
constexpr Duration UpdateInterval = milliseconds(200);
/// How long a change is sent repeatedly.
constexpr Duration RetransmitPeriod = milliseconds(1500);

} // namespace

void StoreReplicator::shareAnswer(Revision Before, bool WasBehind,
                                  const EventContext &Context) {
  recordAdvance(Before, Context.Now_);
  // The view is as fresh as possible now, so it is sent on. An instance that
  // read the store only because it missed a message does not send what the
  // others already have.
  if (WasBehind && !Context.isGroupLeader()) {
    SentRevision_ = View_.revision();
    return;
  }
  sendNewChanges(Context);
  sendRecentChanges(Context);
}

void StoreReplicator::recordAdvance(Revision Before, Instant Now) {
  if (View_.revision() > Before)
    Advances_.push_back({Before, Now});
  while (!Advances_.empty() && Now - Advances_.front().At_ > RetransmitPeriod)
    Advances_.pop_front();
}

void StoreReplicator::sendRecentChanges(const EventContext &Context) {
  // What the own store contradicts is not passed on.
  if (!View_.age(Context.Now_) || Check_.isInDoubt())
    return;
  NextUpdateAt_ = Context.Now_ + UpdateInterval;
  recordAdvance(View_.revision(), Context.Now_);
  RecordUpdate Update = View_.records().lastUpdate(
      Advances_.empty() ? View_.revision() : Advances_.front().Before_,
      View_.revision());
  stamp(Update, true, Context);
  Update.Incarnation_ = Context.self().Incarnation_;
  send(Update, Context);
}

void StoreReplicator::sendNewChanges(const EventContext &Context) {
  if (Check_.isInDoubt())
    return;
  const Revision After = std::exchange(SentRevision_, View_.revision());
  std::vector<RecordUpdate> Updates =
      View_.records().updatesAfter(After, View_.revision());
  for (RecordUpdate &Update : Updates) {
    const bool IsLast = &Update == &Updates.back();
    stamp(Update, IsLast, Context);
    Update.Incarnation_ = Context.self().Incarnation_;
    if (RecordTable::fitsInMessage(Update)) {
      send(Update, Context);
      continue;
    }
    // The others request a larger record, so that nobody's link is filled.
    const CompressedRecord *Large = compress(Update.Records_.front());
    if (!Large || Large->partCount() > MaxMessagesAtOnce)
      continue;
    RecordUpdate Announcement;
    Announcement.FromRevision_ = Update.ToRevision_;
    Announcement.ToRevision_ = Update.ToRevision_;
    stamp(Announcement, IsLast, Context);
    Announcement.Incarnation_ = Context.self().Incarnation_;
    send(Announcement, Context);
    for (std::uint32_t Index = 0; Index < Large->partCount(); ++Index) {
      RecordPart Part = Large->makePart(Update, Index);
      stamp(Part, IsLast, Context);
      send(Part, Context);
    }
  }
}

void StoreReplicator::send(const PeerMessage &Message,
                           const EventContext &Context) const {
  Context.sendToGroup(Message);
  if (Context.isZoneLeader())
    Context.sendTo(Context.Group_.groupRelays(), Message);
}

void StoreReplicator::passOn(const RecordUpdate &Message,
                             const EventContext &Context) {
  // An update from outside the group is passed on by each relay that receives
  // it, since one of them may be slow. An answer to a request is not.
  const bool IsAnswer = Asked_ && Asked_->Name_ == Message.From_;
  const bool IsForGroup = !IsAnswer && !Context.Group_.isInGroup(Message.From_);
  if (IsForGroup || Context.isGroupLeader())
    sendNewChanges(Context);
  else
    SentRevision_ = View_.revision();
  if (IsForGroup && Context.Now_ >= NextUpdateAt_)
    sendRecentChanges(Context);
}

} // namespace cranberryspool::fleet
