#include "fleet/internal/seeded/recordreassembler.h"

#include <algorithm>

namespace cranberryspool::fleet {

namespace {

/// Leaves room in a datagram for the other fields of the fragment.
constexpr std::size_t FragmentBytes = 1'000;

} // namespace

std::vector<RecordFragment> splitRecord(const RecordUpdate &Update) {
  std::vector<RecordFragment> Fragments;
  if (Update.Records_.size() != 1)
    return Fragments;
  const ReplicatedRecord &Record = Update.Records_.front();
  const std::size_t Count =
      (Record.Value_.size() + FragmentBytes - 1) / FragmentBytes;
  if (Count > RecordReassembler::MaxFragments)
    return Fragments;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const auto Begin = Record.Value_.begin() +
                       static_cast<std::ptrdiff_t>(Index * FragmentBytes);
    const std::size_t Remaining = Record.Value_.size() - Index * FragmentBytes;
    RecordFragment Fragment;
    Fragment.FromRevision_ = Update.FromRevision_;
    Fragment.ToRevision_ = Update.ToRevision_;
    Fragment.Key_ = Record.Key_;
    Fragment.Index_ = static_cast<std::uint32_t>(Index);
    Fragment.Count_ = static_cast<std::uint32_t>(Count);
    Fragment.Bytes_.assign(Begin, Begin + static_cast<std::ptrdiff_t>(std::min(
                                              Remaining, FragmentBytes)));
    Fragments.push_back(std::move(Fragment));
  }
  return Fragments;
}

std::optional<RecordUpdate>
RecordReassembler::add(const RecordFragment &Fragment) {
  const bool IsValid = Fragment.Count_ > 0 && Fragment.Count_ <= MaxFragments &&
                       Fragment.Index_ < Fragment.Count_;
  if (!IsValid || Fragment.ToRevision_ < ToRevision_)
    return std::nullopt;
  if (Fragment.ToRevision_ > ToRevision_ ||
      Fragments_.size() != Fragment.Count_) {
    ToRevision_ = Fragment.ToRevision_;
    MissingCount_ = Fragment.Count_;
    Fragments_.assign(Fragment.Count_, std::nullopt);
  }
  if (Fragments_[Fragment.Index_])
    return std::nullopt;
  Fragments_[Fragment.Index_] = Fragment.Bytes_;
  if (--MissingCount_ > 0)
    return std::nullopt;
  RecordUpdate Update;
  Update.From_ = Fragment.From_;
  Update.FromRevision_ = Fragment.FromRevision_;
  Update.ToRevision_ = Fragment.ToRevision_;
  Update.Age_ = Fragment.Age_;
  Update.AnsweredAt_ = Fragment.AnsweredAt_;
  ReplicatedRecord &Record = Update.Records_.emplace_back(
      ReplicatedRecord{Fragment.Key_, {}, ToRevision_, false});
  for (const auto &Bytes : Fragments_)
    Record.Value_.insert(Record.Value_.end(), Bytes->begin(), Bytes->end());
  return Update;
}

} // namespace cranberryspool::fleet
