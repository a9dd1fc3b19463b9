#include "fleet/internal/seeded/recordreassembler.h"

#include <utility>

namespace cranberryspool::fleet {

bool RecordReassembler::isOfCurrentRecord(const RecordPart &Part) const {
  return Part.RecordRevision_ == Record_.Revision_ &&
         Part.Key_ == Record_.Key_ && Part.ValueBytes_ == Record_.ValueBytes_ &&
         Part.Count_ == Parts_.size();
}

std::optional<RecordUpdate> RecordReassembler::add(const RecordPart &Part) {
  const bool IsValid = Part.Count_ <= MaxParts && Part.Index_ < Part.Count_ &&
                       Part.Bytes_.size() <= CompressedRecord::PartBytes;
  if (!IsValid || Part.RecordRevision_ < Record_.Revision_)
    return std::nullopt;
  if (!isOfCurrentRecord(Part)) {
    Record_ = {Part.Key_, Part.RecordRevision_, Part.ValueBytes_, {}};
    MissingCount_ = Part.Count_;
    Parts_.assign(Part.Count_, std::nullopt);
  }
  if (MissingCount_ == 0 && Part.ToRevision_ > ReturnedUpTo_)
    return makeUpdate(Part, restoreValue(*Completed_).value());
  if (MissingCount_ == 0 || Parts_[Part.Index_])
    return std::nullopt;
  Parts_[Part.Index_] = Part.Bytes_;
  if (--MissingCount_ > 0)
    return std::nullopt;
  return complete(Part);
}

std::optional<RecordUpdate>
RecordReassembler::complete(const RecordPart &Last) {
  CompressedRecord Whole = Record_;
  for (auto &Bytes : Parts_) {
    Whole.Bytes_.insert(Whole.Bytes_.end(), Bytes->begin(), Bytes->end());
    Bytes = std::vector<std::uint8_t>();
  }
  auto Value = restoreValue(Whole);
  if (!Value) {
    // Parts of different contents were mixed: start anew.
    Record_ = {};
    return std::nullopt;
  }
  Completed_ = std::move(Whole);
  return makeUpdate(Last, std::move(*Value));
}

RecordUpdate RecordReassembler::makeUpdate(const RecordPart &Part,
                                           std::vector<std::uint8_t> Value) {
  ReturnedUpTo_ = Part.ToRevision_;
  RecordUpdate Update;
  Update.From_ = Part.From_;
  Update.FromRevision_ = Part.FromRevision_;
  Update.ToRevision_ = Part.ToRevision_;
  Update.Age_ = Part.Age_;
  Update.AnsweredAt_ = Part.AnsweredAt_;
  Update.Records_.push_back(
      {Completed_->Key_, std::move(Value), Completed_->Revision_, false});
  return Update;
}

std::vector<std::uint32_t>
RecordReassembler::listMissing(std::size_t Limit) const {
  std::vector<std::uint32_t> Missing;
  if (MissingCount_ == 0)
    return Missing;
  for (std::uint32_t Index = 0; Index < Parts_.size() && Missing.size() < Limit;
       ++Index)
    if (!Parts_[Index])
      Missing.push_back(Index);
  return Missing;
}

} // namespace cranberryspool::fleet
