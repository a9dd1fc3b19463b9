#include "fleet/internal/seeded/recordtable.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

/// Keeps a message within one datagram.
constexpr std::size_t MaxRecordBytes = 1'100;
/// Encoded bytes of a record besides its key and value.
constexpr std::size_t RecordOverhead = 24;

template <typename Record> std::size_t encodedSize(const Record &Each) {
  return Each.Key_.size() + Each.Value_.size() + RecordOverhead;
}

framework::Revision before(framework::Revision Revision) {
  return framework::Revision(Revision.value() - 1);
}

} // namespace

bool RecordTable::isNewer(const StoredRecord &Record) const {
  const auto Known = Records_.find(Record.Key_);
  return Known == Records_.end() || Known->second.Revision_ < Record.Revision_;
}

bool RecordTable::isLast(const ReplicatedRecord &Record) const {
  const auto Known = Records_.find(Record.Key_);
  return Known != Records_.end() && Known->second.Revision_ == Record.Revision_;
}

void RecordTable::put(StoredRecord Record) {
  StoredRecord &Entry = Records_[Record.Key_];
  const auto [First, Last] = KeysByRevision_.equal_range(Entry.Revision_);
  for (auto Each = First; Each != Last; ++Each)
    if (Each->second == Record.Key_) {
      KeysByRevision_.erase(Each);
      break;
    }
  KeysByRevision_.emplace(Record.Revision_, Record.Key_);
  DeletionCount_ -= Entry.IsDeleted_ ? 1 : 0;
  DeletionCount_ += Record.IsDeleted_ ? 1 : 0;
  Entry = std::move(Record);
  if (DeletionCount_ > MaxDeletions)
    dropOldestDeletion();
}

void RecordTable::dropOldestDeletion() {
  for (auto Each = KeysByRevision_.begin(); Each != KeysByRevision_.end();
       ++Each) {
    const auto Entry = Records_.find(Each->second);
    if (!Entry->second.IsDeleted_)
      continue;
    CompleteSince_ = std::max(CompleteSince_, Each->first);
    Records_.erase(Entry);
    KeysByRevision_.erase(Each);
    --DeletionCount_;
    return;
  }
}

std::vector<std::string>
RecordTable::findMissing(const std::set<std::string> &Present,
                         framework::Revision AsOf) const {
  std::vector<std::string> Missing;
  for (const auto &[Key, Record] : Records_)
    if (!Record.IsDeleted_ && Record.Revision_ <= AsOf &&
        !Present.contains(Key))
      Missing.push_back(Key);
  return Missing;
}

std::vector<const StoredRecord *>
RecordTable::recordsAfter(framework::Revision After) const {
  std::vector<const StoredRecord *> Found;
  for (auto Each = KeysByRevision_.upper_bound(After);
       Each != KeysByRevision_.end(); ++Each)
    Found.push_back(&Records_.at(Each->second));
  return Found;
}

std::vector<std::string>
RecordTable::keysChanged(framework::Revision After,
                         framework::Revision UpTo) const {
  std::vector<std::string> Found;
  for (auto Each = KeysByRevision_.upper_bound(After);
       Each != KeysByRevision_.end() && Each->first <= UpTo; ++Each)
    Found.push_back(Each->second);
  return Found;
}

framework::Revision RecordTable::newestRevision() const {
  return KeysByRevision_.empty() ? framework::Revision()
                                 : std::prev(KeysByRevision_.end())->first;
}

std::uint64_t RecordTable::digest() const {
  std::uint64_t Digest = 0;
  for (const auto &[Key, Record] : Records_) {
    if (Record.IsDeleted_)
      continue;
    Digest = XXH64(Key.data(), Key.size(), Digest);
    Digest = XXH64(Record.Value_.data(), Record.Value_.size(),
                   Digest ^ Record.Revision_.value());
  }
  return Digest;
}

framework::Revision
RecordTable::lastChangeUpTo(framework::Revision Limit) const {
  const auto Next = KeysByRevision_.upper_bound(Limit);
  const framework::Revision Last = Next == KeysByRevision_.begin()
                                       ? framework::Revision()
                                       : std::prev(Next)->first;
  return std::max(Last, std::min(CompleteSince_, Limit));
}

std::vector<RecordUpdate>
RecordTable::updatesAfter(framework::Revision After,
                          framework::Revision To) const {
  std::vector<RecordUpdate> Updates;
  if (To <= After)
    return Updates;
  RecordUpdate Next;
  // Who lacks only changes that a later one of the same key has replaced can
  // apply the first update as well.
  Next.FromRevision_ = lastChangeUpTo(After);
  std::size_t Bytes = 0;
  for (const StoredRecord *Each : recordsAfter(After)) {
    const std::size_t Size = encodedSize(*Each);
    if (Bytes + Size > MaxRecordBytes && !Next.Records_.empty()) {
      const framework::Revision Last = Next.Records_.back().Revision_;
      // More records of the same revision follow.
      Next.ToRevision_ = std::min(
          To, Each->Revision_ > Last ? Last : std::max(before(Last), After));
      Updates.push_back(std::exchange(Next, RecordUpdate()));
      Next.FromRevision_ = Updates.back().ToRevision_;
      Bytes = 0;
    }
    Next.Records_.push_back(replicate(*Each));
    Bytes += Size;
  }
  // Without records it states that the changes up to `To` have no effect.
  Next.ToRevision_ = To;
  Updates.push_back(std::move(Next));
  return Updates;
}

RecordUpdate RecordTable::lastUpdate(framework::Revision After,
                                     framework::Revision To) const {
  After = std::max(After, CompleteSince_);
  RecordUpdate Update;
  Update.ToRevision_ = To;
  Update.FromRevision_ = lastChangeUpTo(After);
  const std::vector<const StoredRecord *> Records = recordsAfter(After);
  auto First = Records.end();
  std::size_t Bytes = 0;
  while (First != Records.begin()) {
    Bytes += encodedSize(**std::prev(First));
    if (Bytes > MaxRecordBytes) {
      Update.FromRevision_ = First == Records.end()
                                 ? To
                                 : std::min(To, (*std::prev(First))->Revision_);
      break;
    }
    --First;
  }
  for (; First != Records.end(); ++First)
    Update.Records_.push_back(replicate(**First));
  if (Update.Records_.empty())
    Update.FromRevision_ = To;
  return Update;
}

ReplicatedRecord RecordTable::replicate(const StoredRecord &Record) {
  return {Record.Key_,
          {Record.Value_.begin(), Record.Value_.end()},
          Record.Revision_,
          Record.IsDeleted_};
}

bool RecordTable::fitsInMessage(const RecordUpdate &Update) {
  return Update.Records_.size() != 1 ||
         encodedSize(Update.Records_.front()) <= MaxRecordBytes;
}

} // namespace cranberryspool::fleet
