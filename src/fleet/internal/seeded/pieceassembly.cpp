#include "fleet/internal/seeded/pieceassembly.h"

#include <algorithm>

namespace cranberryspool::fleet {

namespace {

/// Bytes of a record in one part, which leaves room for the names around it.
constexpr std::size_t PieceBytes = 1'000;

} // namespace

std::vector<RecordPiece> splitRecord(const RecordNotice &Notice) {
  std::vector<RecordPiece> Pieces;
  if (Notice.Records_.size() != 1)
    return Pieces;
  const SharedRecord &Whole = Notice.Records_.front();
  const std::size_t Count = (Whole.Value_.size() + PieceBytes - 1) / PieceBytes;
  if (Count > PieceAssembly::MaxPieces)
    return Pieces;
  for (std::size_t Number = 0; Number < Count; ++Number) {
    const auto First =
        Whole.Value_.begin() + static_cast<std::ptrdiff_t>(Number * PieceBytes);
    const std::size_t Left = Whole.Value_.size() - Number * PieceBytes;
    RecordPiece Piece;
    Piece.After_ = Notice.After_;
    Piece.AsOf_ = Notice.AsOf_;
    Piece.Key_ = Whole.Key_;
    Piece.Number_ = static_cast<std::uint32_t>(Number);
    Piece.Count_ = static_cast<std::uint32_t>(Count);
    Piece.Bytes_.assign(
        First, First + static_cast<std::ptrdiff_t>(std::min(Left, PieceBytes)));
    Pieces.push_back(std::move(Piece));
  }
  return Pieces;
}

std::optional<RecordNotice> PieceAssembly::take(const RecordPiece &Piece) {
  const bool IsValid = Piece.Count_ > 0 && Piece.Count_ <= MaxPieces &&
                       Piece.Number_ < Piece.Count_;
  if (!IsValid || Piece.AsOf_ < AsOf_)
    return std::nullopt;
  if (Piece.AsOf_ > AsOf_ || Parts_.size() != Piece.Count_) {
    AsOf_ = Piece.AsOf_;
    Missing_ = Piece.Count_;
    Parts_.assign(Piece.Count_, std::nullopt);
  }
  if (Parts_[Piece.Number_])
    return std::nullopt;
  Parts_[Piece.Number_] = Piece.Bytes_;
  if (--Missing_ > 0)
    return std::nullopt;
  RecordNotice Notice;
  Notice.From_ = Piece.From_;
  Notice.After_ = Piece.After_;
  Notice.AsOf_ = Piece.AsOf_;
  Notice.Age_ = Piece.Age_;
  Notice.AnsweredAt_ = Piece.AnsweredAt_;
  SharedRecord &Whole =
      Notice.Records_.emplace_back(SharedRecord{Piece.Key_, {}, AsOf_, false});
  for (const auto &Part : Parts_)
    Whole.Value_.insert(Whole.Value_.end(), Part->begin(), Part->end());
  return Notice;
}

} // namespace cranberryspool::fleet
