#include "fleet/internal/seeded/pieceassembly.h"

#include <algorithm>

namespace cranberryspool::fleet {

namespace {

/// Bytes of a record in one part, which leaves room for the names around it.
constexpr std::size_t PieceBytes = 1'000;

} // namespace

std::vector<RecordFragment> splitRecord(const RecordUpdate &Notice) {
  std::vector<RecordFragment> Pieces;
  if (Notice.Records_.size() != 1)
    return Pieces;
  const ReplicatedRecord &Whole = Notice.Records_.front();
  const std::size_t Count = (Whole.Value_.size() + PieceBytes - 1) / PieceBytes;
  if (Count > PieceAssembly::MaxPieces)
    return Pieces;
  for (std::size_t Number = 0; Number < Count; ++Number) {
    const auto First =
        Whole.Value_.begin() + static_cast<std::ptrdiff_t>(Number * PieceBytes);
    const std::size_t Left = Whole.Value_.size() - Number * PieceBytes;
    RecordFragment Piece;
    Piece.FromRevision_ = Notice.FromRevision_;
    Piece.ToRevision_ = Notice.ToRevision_;
    Piece.Key_ = Whole.Key_;
    Piece.Index_ = static_cast<std::uint32_t>(Number);
    Piece.Count_ = static_cast<std::uint32_t>(Count);
    Piece.Bytes_.assign(
        First, First + static_cast<std::ptrdiff_t>(std::min(Left, PieceBytes)));
    Pieces.push_back(std::move(Piece));
  }
  return Pieces;
}

std::optional<RecordUpdate> PieceAssembly::take(const RecordFragment &Piece) {
  const bool IsValid = Piece.Count_ > 0 && Piece.Count_ <= MaxPieces &&
                       Piece.Index_ < Piece.Count_;
  if (!IsValid || Piece.ToRevision_ < ToRevision_)
    return std::nullopt;
  if (Piece.ToRevision_ > ToRevision_ || Parts_.size() != Piece.Count_) {
    ToRevision_ = Piece.ToRevision_;
    Missing_ = Piece.Count_;
    Parts_.assign(Piece.Count_, std::nullopt);
  }
  if (Parts_[Piece.Index_])
    return std::nullopt;
  Parts_[Piece.Index_] = Piece.Bytes_;
  if (--Missing_ > 0)
    return std::nullopt;
  RecordUpdate Notice;
  Notice.From_ = Piece.From_;
  Notice.FromRevision_ = Piece.FromRevision_;
  Notice.ToRevision_ = Piece.ToRevision_;
  Notice.Age_ = Piece.Age_;
  Notice.AnsweredAt_ = Piece.AnsweredAt_;
  ReplicatedRecord &Whole =
      Notice.Records_.emplace_back(ReplicatedRecord{Piece.Key_, {}, ToRevision_, false});
  for (const auto &Part : Parts_)
    Whole.Value_.insert(Whole.Value_.end(), Part->begin(), Part->end());
  return Notice;
}

} // namespace cranberryspool::fleet
