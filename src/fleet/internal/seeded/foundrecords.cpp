#include "fleet/internal/seeded/foundrecords.h"

namespace cranberryspool::fleet {

using framework::Instant;
using framework::Revision;

void FoundRecords::add(const std::vector<StoredRecord> &Records,
                       const FoundRecipients &Recipients, Instant Now) {
  if (Now >= SentUntil_) {
    Records_ = RecordTable();
    Recipients_ = {};
  }
  Recipients_.OwnGroup_ |= Recipients.OwnGroup_;
  Recipients_.OtherGroups_ |= Recipients.OtherGroups_;
  Recipients_.OtherZones_ |= Recipients.OtherZones_;
  for (const StoredRecord &Each : Records)
    if (Records_.isNewer(Each))
      Records_.put(Each);
  SentUntil_ = Now + SendPeriod;
  NextSendAt_ = Now;
}

std::vector<RecordUpdate> FoundRecords::takeUpdates(const RecordTable &Known,
                                                    Revision ViewRevision,
                                                    Instant Now) {
  NextSendAt_ = Now + SendInterval;
  std::vector<RecordUpdate> Updates =
      Records_.updatesAfter(Revision(), ViewRevision);
  for (RecordUpdate &Each : Updates) {
    Each.FromRevision_ = ViewRevision;
    Each.ToRevision_ = ViewRevision;
    std::erase_if(Each.Records_, [&Known](const ReplicatedRecord &Record) {
      return !Known.isLast(Record);
    });
  }
  std::erase_if(Updates,
                [](const auto &Each) { return Each.Records_.empty(); });
  return Updates;
}

} // namespace cranberryspool::fleet
