#include "fleet/internal/seeded/compressedrecord.h"

#include <zlib.h>

#include <algorithm>

namespace cranberryspool::fleet {

std::uint32_t CompressedRecord::partCount() const {
  return static_cast<std::uint32_t>((Bytes_.size() + PartBytes - 1) /
                                    PartBytes);
}

RecordPart CompressedRecord::makePart(const RecordUpdate &Update,
                                      std::uint32_t Index) const {
  const std::size_t Begin = Index * PartBytes;
  const std::size_t End = std::min(Begin + PartBytes, Bytes_.size());
  RecordPart Part;
  Part.FromRevision_ = Update.FromRevision_;
  Part.ToRevision_ = Update.ToRevision_;
  Part.Key_ = Key_;
  Part.RecordRevision_ = Revision_;
  Part.ValueBytes_ = ValueBytes_;
  Part.Index_ = Index;
  Part.Count_ = partCount();
  Part.Bytes_.assign(Bytes_.begin() + static_cast<std::ptrdiff_t>(Begin),
                     Bytes_.begin() + static_cast<std::ptrdiff_t>(End));
  return Part;
}

std::optional<CompressedRecord> compressRecord(const ReplicatedRecord &Record) {
  const std::size_t Size = Record.Value_.size();
  if (Size == 0 || Size > CompressedRecord::MaxValueBytes)
    return std::nullopt;
  CompressedRecord Result{Record.Key_, Record.Revision_, Size, {}};
  uLongf Bytes = compressBound(Size);
  Result.Bytes_.resize(Bytes);
  if (compress2(Result.Bytes_.data(), &Bytes, Record.Value_.data(), Size,
                Z_BEST_SPEED) != Z_OK)
    return std::nullopt;
  Result.Bytes_.resize(Bytes);
  return Result;
}

std::optional<std::vector<std::uint8_t>>
restoreValue(const CompressedRecord &Record) {
  if (Record.ValueBytes_ == 0 ||
      Record.ValueBytes_ > CompressedRecord::MaxValueBytes)
    return std::nullopt;
  std::vector<std::uint8_t> Value(Record.ValueBytes_);
  uLongf Bytes = Value.size();
  if (uncompress(Value.data(), &Bytes, Record.Bytes_.data(),
                 Record.Bytes_.size()) != Z_OK ||
      Bytes != Value.size())
    return std::nullopt;
  return Value;
}

} // namespace cranberryspool::fleet
