#include "fleet/internal/seeded/recordlog.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

/// Bytes of a record's encoding beside its key and value.
constexpr std::size_t RecordOverhead = 24;

} // namespace

void RecordLog::note(framework::Revision After, framework::Revision AsOf,
                     const std::vector<StoredRecord> &Records,
                     framework::Instant Now) {
  if (AsOf <= After)
    return;
  Batch New{After, AsOf, Now, {}, 0};
  for (const StoredRecord &Each : Records) {
    New.Records_.push_back({Each.Key_,
                            {Each.Value_.begin(), Each.Value_.end()},
                            Each.Revision_,
                            Each.IsDeleted_});
    New.Bytes_ += Each.Key_.size() + Each.Value_.size() + RecordOverhead;
  }
  Batches_.push_back(std::move(New));
}

void RecordLog::fill(RecordNotice &Notice, framework::Instant Now) {
  while (!Batches_.empty() && Now - Batches_.front().SeenAt_ > Memory)
    Batches_.pop_front();
  Notice.After_ = Notice.AsOf_;
  std::size_t Bytes = 0;
  for (auto Each = Batches_.rbegin(); Each != Batches_.rend(); ++Each) {
    Bytes += Each->Bytes_;
    if (Each->AsOf_ != Notice.After_ || Bytes > MaxBytes)
      return;
    Notice.After_ = Each->After_;
    Notice.Records_.insert(Notice.Records_.begin(), Each->Records_.begin(),
                           Each->Records_.end());
  }
}

} // namespace cranberryspool::fleet
