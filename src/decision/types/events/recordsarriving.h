#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDSARRIVING_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDSARRIVING_H

#include "fleet/types/readkind.h"

namespace cranberryspool::decision {

/// A large response of the metadata store has begun to arrive. One of
/// `RecordsRead`, `RecordsChanged` and `RecordsUnavailable` follows.
struct RecordsArriving {
  fleet::ReadKind Kind_ = fleet::ReadKind::Changes;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDSARRIVING_H
