#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_OWNANSWER_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_OWNANSWER_H

#include "fleet/types/storedrecord.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <vector>

namespace cranberryspool::fleet {

/// All records that the own store has returned.
struct OwnAnswer {
  std::vector<StoredRecord> Records_;
  framework::Revision AsOf_;
  /// The time as of which the answer certainly holds.
  framework::Instant At_{};
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_OWNANSWER_H
