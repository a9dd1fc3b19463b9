#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_CONFIRMEDCHANGES_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_CONFIRMEDCHANGES_H

#include "framework/ids.h"
#include "framework/time.h"

#include <optional>

namespace cranberryspool::fleet {

/// What an answer to a read of changes proves, with those before it.
struct ConfirmedChanges {
  /// All changes up to this revision have been returned.
  framework::Revision UpTo_;
  /// The time as of which this holds, or nothing when that is not known yet.
  std::optional<framework::Instant> At_;
  /// Whether an earlier answer had left out a change that this one returns.
  bool IsChangeLeftOut_ = false;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_CONFIRMEDCHANGES_H
