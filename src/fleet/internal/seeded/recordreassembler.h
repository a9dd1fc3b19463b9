#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_RECORDREASSEMBLER_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_RECORDREASSEMBLER_H

#include "fleet/internal/seeded/compressedrecord.h"
#include "fleet/types/recordpart.h"
#include "fleet/types/recordupdate.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cranberryspool::fleet {

/// Reassembles one large record from its parts, whichever instances send them.
/// Parts of a newer revision replace those of an older one.
class RecordReassembler {
public:
  /// Adds a part. Returns the whole update once all parts have arrived, and
  /// again when a part leads to a later revision.
  std::optional<RecordUpdate> add(const RecordPart &Part);

  /// Returns the revision of the record that has arrived in part.
  framework::Revision revision() const { return Record_.Revision_; }
  /// Returns the first parts that are missing of it, at most `Limit`. None when
  /// no record is incomplete.
  std::vector<std::uint32_t> listMissing(std::size_t Limit) const;
  /// Returns the number of parts that are missing of it.
  std::size_t missingCount() const { return MissingCount_; }
  /// Returns the record that was completed last, compressed as it arrived.
  const std::optional<CompressedRecord> &completed() const {
    return Completed_;
  }

private:
  static constexpr std::uint32_t MaxParts = static_cast<std::uint32_t>(
      CompressedRecord::MaxValueBytes / CompressedRecord::PartBytes);

  bool isOfCurrentRecord(const RecordPart &Part) const;
  /// Completes the record with its last part. Returns nothing when the parts do
  /// not fit together.
  std::optional<RecordUpdate> complete(const RecordPart &Last);
  RecordUpdate makeUpdate(const RecordPart &Part,
                          std::vector<std::uint8_t> Value);

  /// The record that is being received, without its bytes.
  CompressedRecord Record_;
  std::size_t MissingCount_ = 0;
  std::vector<std::optional<std::vector<std::uint8_t>>> Parts_;
  std::optional<CompressedRecord> Completed_;
  /// The revision to which the last update led that was returned for it.
  framework::Revision ReturnedUpTo_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_RECORDREASSEMBLER_H
