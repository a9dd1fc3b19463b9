#include "fleet/internal/seeded/recordlog.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

/// Encoded bytes of a record besides its key and value.
constexpr std::size_t RecordOverhead = 24;

template <typename Record> std::size_t encodedSize(const Record &Each) {
  return Each.Key_.size() + Each.Value_.size() + RecordOverhead;
}

} // namespace

void RecordLog::append(framework::Revision FromRevision,
                       framework::Revision ToRevision,
                       const std::vector<StoredRecord> &Records,
                       framework::Instant Now) {
  if (ToRevision <= FromRevision)
    return;
  Batch Next{FromRevision, FromRevision, Now, {}, 0};
  for (const StoredRecord &Each : Records) {
    const std::size_t Bytes = encodedSize(Each);
    // Records are ordered by revision, so a batch may end after any of them.
    if (Next.Bytes_ + Bytes > MaxRecordBytes && !Next.Records_.empty()) {
      const framework::Revision LastRevision = Next.Records_.back().Revision_;
      Next.ToRevision_ = LastRevision;
      addBatch(
          std::exchange(Next, Batch{LastRevision, LastRevision, Now, {}, 0}));
    }
    Next.Records_.push_back({Each.Key_,
                             {Each.Value_.begin(), Each.Value_.end()},
                             Each.Revision_,
                             Each.IsDeleted_});
    Next.Bytes_ += Bytes;
  }
  Next.ToRevision_ = ToRevision;
  addBatch(std::move(Next));
}

void RecordLog::addBatch(Batch Next) {
  Batches_.push_back(std::move(Next));
  ++UnsentCount_;
}

std::vector<RecordUpdate> RecordLog::takeUnsent() {
  std::vector<RecordUpdate> Updates;
  const std::size_t Count =
      std::min(std::exchange(UnsentCount_, 0), Batches_.size());
  for (auto Each = Batches_.end() - static_cast<std::ptrdiff_t>(Count);
       Each != Batches_.end(); ++Each) {
    RecordUpdate Update;
    Update.FromRevision_ = Each->FromRevision_;
    Update.ToRevision_ = Each->ToRevision_;
    Update.Records_ = Each->Records_;
    Updates.push_back(std::move(Update));
  }
  return Updates;
}

bool RecordLog::fitsInMessage(const RecordUpdate &Update) {
  return Update.Records_.size() != 1 ||
         encodedSize(Update.Records_.front()) <= MaxRecordBytes;
}

void RecordLog::addRecent(RecordUpdate &Update, framework::Instant Now) {
  while (!Batches_.empty() &&
         Now - Batches_.front().ReceivedAt_ > RetransmitPeriod)
    Batches_.pop_front();
  Update.FromRevision_ = Update.ToRevision_;
  std::size_t Bytes = 0;
  for (auto Each = Batches_.rbegin(); Each != Batches_.rend(); ++Each) {
    Bytes += Each->Bytes_;
    if (Each->ToRevision_ != Update.FromRevision_ || Bytes > MaxRecordBytes)
      return;
    Update.FromRevision_ = Each->FromRevision_;
    Update.Records_.insert(Update.Records_.begin(), Each->Records_.begin(),
                           Each->Records_.end());
  }
}

} // namespace cranberryspool::fleet
