#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_RECORDREASSEMBLER_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_RECORDREASSEMBLER_H

#include "fleet/types/recordfragment.h"
#include "fleet/types/recordupdate.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cranberryspool::fleet {

/// Splits an update with a single record that is too large for a message.
/// Returns nothing when the record would need more than
/// `RecordReassembler::MaxFragments` fragments.
std::vector<RecordFragment> splitRecord(const RecordUpdate &Update);

/// Reassembles one large record from its fragments. Fragments of a newer
/// revision replace those of an older one.
class RecordReassembler {
public:
  /// Larger records are not sent between instances; each reads them from the
  /// store.
  static constexpr std::size_t MaxFragments = 32;

  /// Adds a fragment. Returns the whole update once all fragments have arrived.
  std::optional<RecordUpdate> add(const RecordFragment &Fragment);

private:
  framework::Revision ToRevision_;
  std::size_t MissingCount_ = 0;
  std::vector<std::optional<std::vector<std::uint8_t>>> Fragments_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_RECORDREASSEMBLER_H
