#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_PIECEASSEMBLY_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_PIECEASSEMBLY_H

#include "fleet/types/recordupdate.h"
#include "fleet/types/recordfragment.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cranberryspool::fleet {

/// Splits a notice whose only record is too large for a message.
std::vector<RecordFragment> splitRecord(const RecordUpdate &Notice);

/// Puts the parts of one large record together, those of the newest revision
/// only.
class PieceAssembly {
public:
  /// Parts of a record at most; larger records are read from the store.
  static constexpr std::size_t MaxPieces = 32;

  /// Returns the record once all its parts have come.
  std::optional<RecordUpdate> take(const RecordFragment &Piece);

private:
  framework::Revision ToRevision_;
  std::size_t Missing_ = 0;
  std::vector<std::optional<std::vector<std::uint8_t>>> Parts_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_PIECEASSEMBLY_H
