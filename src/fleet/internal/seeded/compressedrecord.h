#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_COMPRESSEDRECORD_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_COMPRESSEDRECORD_H

#include "fleet/types/recordpart.h"
#include "fleet/types/recordupdate.h"
#include "fleet/types/replicatedrecord.h"
#include "framework/ids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// A record of the platform's metadata store with its value compressed, to be
/// sent in parts.
struct CompressedRecord {
  /// The largest value that is compressed or restored.
  static constexpr std::size_t MaxValueBytes = 2 * 1024 * 1024;
  /// Leaves room in a datagram for the other fields of a part.
  static constexpr std::size_t PartBytes = 1'000;

  std::string Key_;
  framework::Revision Revision_;
  std::size_t ValueBytes_ = 0;
  std::vector<std::uint8_t> Bytes_;

  std::uint32_t partCount() const;
  /// Returns a part, with the revisions of the update whose only record this
  /// is.
  RecordPart makePart(const RecordUpdate &Update, std::uint32_t Index) const;
};

/// Returns nothing when the value is empty or too large.
std::optional<CompressedRecord> compressRecord(const ReplicatedRecord &Record);

/// Returns nothing when the bytes are not those of a value of the stated size.
std::optional<std::vector<std::uint8_t>>
restoreValue(const CompressedRecord &Record);

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_COMPRESSEDRECORD_H
