// Reports of the replication of the platform's metadata store.

#include "fleet/internal/seeded/storereplicator.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

using framework::Duration;
using framework::Instant;
using framework::Revision;
using std::chrono::milliseconds;

/// Reads that take longer than this, besides the wait of a watch, and answers
/// that are larger are reported.
constexpr Duration SlowReadTime = milliseconds(250);
constexpr std::size_t LargeReadBytes = 100'000;

std::size_t countBytes(const std::vector<StoredRecord> &Records) {
  std::size_t Bytes = 0;
  for (const StoredRecord &Each : Records)
    Bytes += Each.Value_.size();
  return Bytes;
}

} // namespace

std::optional<StoreStatement>
StoreReplicator::lastStatement(Instant Now) const {
  if (!StatedRevision_)
    return std::nullopt;
  return StoreStatement{*StatedRevision_, Now - AnswerReceivedAt_};
}

std::string
StoreReplicator::describeAnswer(const std::vector<StoredRecord> &Records,
                                Revision AsOf) const {
  return std::to_string(Records.size()) + " records of " +
         std::to_string(countBytes(Records)) + " bytes, from revision " +
         std::to_string(View_.revision().value()) + " to " +
         std::to_string(AsOf.value());
}

void StoreReplicator::reportSlowRead(const PendingRead &Read,
                                     const std::vector<StoredRecord> &Records,
                                     Revision AsOf,
                                     const EventContext &Context) const {
  reportSlowRead(Read, describeAnswer(Records, AsOf), countBytes(Records),
                 Context);
}

void StoreReplicator::reportSlowRead(const PendingRead &Read,
                                     std::string Result, std::size_t Bytes,
                                     const EventContext &Context) {
  const Duration Elapsed = Context.Now_ - Read.StartedAt_;
  if (Elapsed <= Read.Wait_ + SlowReadTime && Bytes <= LargeReadBytes)
    return;
  ViewChanged Report{ViewEvent::StoreReadSlow, std::move(Result),
                     ViewChanged::StoreSource};
  Report.Elapsed_ = Elapsed;
  Context.Output_.push_back(std::move(Report));
}

void StoreReplicator::reportIncompleteRead(
    ViewEvent Event, const PendingRead &Read,
    const std::vector<StoredRecord> &Records, Revision UpTo,
    const EventContext &Context) const {
  ViewChanged Report{Event, describeAnswer(Records, UpTo),
                     ViewChanged::StoreSource};
  Report.Elapsed_ = Context.Now_ - Read.StartedAt_;
  Context.Output_.push_back(std::move(Report));
}

void StoreReplicator::reportLostDatagrams(const MemberInfo &Asked,
                                          const EventContext &Context) const {
  ViewChanged Report{ViewEvent::DatagramsLost, Asked.Name_.value(),
                     Context.self().Name_.value()};
  Report.Elapsed_ = Context.Now_ - HeardAt_;
  Context.Output_.push_back(std::move(Report));
}

void StoreReplicator::reportOverdueUpdates(const MemberInfo &Asked,
                                           const EventContext &Context) {
  if (!areUpdatesOverdue(Context.Now_) ||
      std::exchange(AreOverdueUpdatesReported_, true))
    return;
  ViewChanged Report{ViewEvent::UpdatesOverdue, Asked.Name_.value(),
                     Context.self().Name_.value()};
  Report.Elapsed_ = Context.Now_ - std::max(HeardAt_, AnswerReceivedAt_);
  Context.Output_.push_back(std::move(Report));
}

void StoreReplicator::reportChanges(const StoreView::Changes &Changed,
                                    const std::string &Source,
                                    OutputList &Output) const {
  for (const std::string &Key : Changed.Draining_)
    Output.push_back(ViewChanged{ViewEvent::TargetDraining, Key, Source});
  for (const std::string &Key : Changed.Removed_)
    Output.push_back(ViewChanged{ViewEvent::TargetRemoved, Key, Source});
  for (const std::string &Key : Changed.Deferred_) {
    ViewChanged Report{ViewEvent::RemovalDeferred, Key, Source};
    Report.Elapsed_ = View_.outages().lastOutage();
    Output.push_back(std::move(Report));
  }
  for (const auto &[Key, Reason] : Changed.Rejected_)
    Output.push_back(RecordRejected{Key, Reason});
  if (Changed.IsDocumentChanged_)
    Output.push_back(DocumentApplied{Revision(View_.configuration().Version_),
                                     Source, View_.configurationRevision()});
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

} // namespace cranberryspool::fleet
