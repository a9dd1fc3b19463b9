// Updates of other instances with changes of the platform's metadata store.

#include "fleet/internal/seeded/storedrecords.h"
#include "fleet/internal/seeded/storereplicator.h"

#include <algorithm>

namespace cranberryspool::fleet {

using framework::Duration;
using framework::Instant;
using framework::Revision;

void StoreReplicator::handle(const RecordUpdate &Message,
                             const EventContext &Context) {
  recordHeard(Message.From_, Context.Now_);
  if (!View_.isLoaded() || isSettling(Context.Now_))
    return;
  compareWithView(Message, Context);
  const Revision Before = View_.revision();
  if (isImplausible(Message.ToRevision_))
    return;
  const auto News = listFoundByOther(Message);
  if (isOutdated(Message)) {
    applyOutdated(News, Message.From_, Context);
    return;
  }
  if (Message.FromRevision_ > Before) {
    recordGap(Message.ToRevision_, Message.From_, Context.Now_);
    const Instant AnsweredAt = Context.Now_ - Message.Age_;
    if (Message.Age_ < RecordUpdate::MoreFollows)
      View_.outages().recordAnswerToOther(AnsweredAt, AnsweredAt);
    reportChanges(
        View_.applyAhead(storedRecords(Message.Records_), Context.Now_),
        Message.From_.value(), Context.Output_);
    return;
  }
  reportChanges(applyNext(Message, Context), Message.From_.value(),
                Context.Output_);
  checkRefused(Message, Context);
  if (View_.revision() > Before)
    Lead_.record(Message, View_.revision(), Context.Now_);
  recordAdvance(Before, Context.Now_);
  if (View_.revision() > Before)
    HelpedAt_ = Context.Now_;
  forgetReachedAnnouncement();
  reportProgress(Message.From_.value(), Context);
  passOn(Message, Context);
  passOnFound(Message.From_, News, Context);
}

bool StoreReplicator::isOutdated(const RecordUpdate &Message) const {
  if (Message.ToRevision_ >= View_.revision())
    return false;
  // The revision of a read of all records may be after the last change.
  return Message.Age_ >= RecordUpdate::MoreFollows ||
         Message.ToRevision_ < View_.records().newestRevision();
}

StoreView::Changes StoreReplicator::applyNext(const RecordUpdate &Message,
                                              const EventContext &Context) {
  if (Message.Age_ < RecordUpdate::MoreFollows)
    return applyWhole(Message, Context);
  if (Message.Records_.empty()) {
    recordPromise(Message, Context.Now_);
    return {};
  }
  const auto Changed = View_.applyPart(storedRecords(Message.Records_),
                                       Message.ToRevision_, Context.Now_);
  recordMore(Message.ToRevision_, Message.From_, Context.Now_);
  return Changed;
}

StoreView::Changes StoreReplicator::applyWhole(const RecordUpdate &Message,
                                               const EventContext &Context) {
  const auto Records = storedRecords(Message.Records_);
  // What this instance has read itself is not contradicted by an update that
  // leads no further.
  const Revision From =
      Message.ToRevision_ > View_.revision()
          ? Message.FromRevision_
          : std::max(Message.FromRevision_, FullReadRevision_);
  if (lackKnownChange(Records, From, Message.ToRevision_)) {
    requireFullRead(Context.Now_);
    Context.Output_.push_back(ViewChanged{
        ViewEvent::StoreReadIncomplete,
        describeAnswer(Records, Message.ToRevision_), Message.From_.value()});
    return View_.applyAhead(Records, Context.Now_);
  }
  // A clock difference may make the update look older, never younger than its
  // own age says.
  const Duration Age =
      std::max(Message.Age_, Context.Wall_ - Message.AnsweredAt_);
  const auto Changed =
      View_.apply(Records, std::max(Message.ToRevision_, View_.revision()),
                  Context.Now_ - Age);
  IsRestMissing_ = false;
  forgetAnnouncementOfMore(Message);
  if (View_.age(Context.Now_) == Age)
    AnsweredWallTime_ = Message.AnsweredAt_;
  return Changed;
}

void StoreReplicator::handle(const StoreAvailability &Message,
                             const EventContext &Context) {
  recordHeard(Message.From_, Context.Now_);
  View_.outages().recordAnswerToOther(Context.Now_ - Message.Age_,
                                      Context.Now_ - Message.AvailableFor_);
}

void StoreReplicator::forgetAnnouncementOfMore(const RecordUpdate &Message) {
  const Revision Next(Message.ToRevision_.value() + 1);
  if (Message.From_ == AnnouncedBy_ && AnnouncedRevision_ == Next)
    AnnouncedRevision_.reset();
}

} // namespace cranberryspool::fleet
