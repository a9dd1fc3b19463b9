#include "fleet/internal/seeded/revisionaccount.h"

#include <algorithm>

namespace cranberryspool::fleet {

namespace {

using framework::Revision;

/// After this many reads that found nothing, the store is trusted for a while.
constexpr std::uint32_t MaxFruitlessReads = 2;
constexpr framework::Duration TrustPeriod = std::chrono::seconds(10);

} // namespace

Revision
RevisionAccount::lastAccounted(const std::vector<StoredRecord> &Changes,
                               Revision From, Revision AsOf) {
  std::set<Revision> Known;
  for (const StoredRecord &Each : Changes)
    Known.insert(Each.Revision_);
  Revision Last = From;
  while (Last < AsOf && Known.contains(Revision(Last.value() + 1)))
    Last = Revision(Last.value() + 1);
  return Last;
}

void RevisionAccount::recordGap(const std::vector<StoredRecord> &Changes,
                                Revision Accounted, Revision AsOf) {
  if (!Needed_) {
    Returned_.clear();
    Accounted_ = Accounted;
  }
  for (const StoredRecord &Each : Changes)
    Returned_.insert(Each.Revision_);
  Needed_ = std::max(Needed_.value_or(AsOf), AsOf);
}

bool RevisionAccount::isMissing(Revision Each) const {
  return Needed_ && Each > Accounted_ && Each <= *Needed_ &&
         !Returned_.contains(Each);
}

void RevisionAccount::recordFullRead(Revision AsOf, bool HasFound,
                                     framework::Instant Now) {
  if (!Needed_ || AsOf < *Needed_)
    return;
  Needed_.reset();
  FruitlessReads_ = HasFound ? 0 : FruitlessReads_ + 1;
  if (FruitlessReads_ >= MaxFruitlessReads)
    TrustedUntil_ = Now + TrustPeriod;
}

void RevisionAccount::recordProgress(Revision Reached) {
  if (Needed_ && Reached >= *Needed_)
    Needed_.reset();
}

} // namespace cranberryspool::fleet
