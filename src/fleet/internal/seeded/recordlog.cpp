#include "fleet/internal/seeded/recordlog.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

/// Bytes of a record's encoding beside its key and value.
constexpr std::size_t RecordOverhead = 24;

template <typename Record> std::size_t bytesOf(const Record &Each) {
  return Each.Key_.size() + Each.Value_.size() + RecordOverhead;
}

} // namespace

void RecordLog::note(framework::Revision After, framework::Revision AsOf,
                     const std::vector<StoredRecord> &Records,
                     framework::Instant Now) {
  if (AsOf <= After)
    return;
  Batch Next{After, After, Now, {}, 0};
  for (const StoredRecord &Each : Records) {
    const std::size_t Bytes = bytesOf(Each);
    // Records come in the order of their revisions, so that a part ends at one.
    if (Next.Bytes_ + Bytes > MaxBytes && !Next.Records_.empty()) {
      const framework::Revision End = Next.Records_.back().Revision_;
      Next.ToRevision_ = End;
      push(std::exchange(Next, Batch{End, End, Now, {}, 0}));
    }
    Next.Records_.push_back({Each.Key_,
                             {Each.Value_.begin(), Each.Value_.end()},
                             Each.Revision_,
                             Each.IsDeleted_});
    Next.Bytes_ += Bytes;
  }
  Next.ToRevision_ = AsOf;
  push(std::move(Next));
}

void RecordLog::push(Batch Next) {
  Batches_.push_back(std::move(Next));
  ++New_;
}

std::vector<RecordUpdate> RecordLog::takeNew() {
  std::vector<RecordUpdate> Parts;
  const std::size_t Count = std::min(std::exchange(New_, 0), Batches_.size());
  for (auto Each = Batches_.end() - static_cast<std::ptrdiff_t>(Count);
       Each != Batches_.end(); ++Each) {
    RecordUpdate Part;
    Part.FromRevision_ = Each->FromRevision_;
    Part.ToRevision_ = Each->ToRevision_;
    Part.Records_ = Each->Records_;
    Parts.push_back(std::move(Part));
  }
  return Parts;
}

bool RecordLog::fitsInMessage(const RecordUpdate &Part) {
  return Part.Records_.size() != 1 ||
         bytesOf(Part.Records_.front()) <= MaxBytes;
}

void RecordLog::fill(RecordUpdate &Notice, framework::Instant Now) {
  while (!Batches_.empty() && Now - Batches_.front().SeenAt_ > Memory)
    Batches_.pop_front();
  Notice.FromRevision_ = Notice.ToRevision_;
  std::size_t Bytes = 0;
  for (auto Each = Batches_.rbegin(); Each != Batches_.rend(); ++Each) {
    Bytes += Each->Bytes_;
    if (Each->ToRevision_ != Notice.FromRevision_ || Bytes > MaxBytes)
      return;
    Notice.FromRevision_ = Each->FromRevision_;
    Notice.Records_.insert(Notice.Records_.begin(), Each->Records_.begin(),
                           Each->Records_.end());
  }
}

} // namespace cranberryspool::fleet
