#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDSARRIVING_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDSARRIVING_H

namespace cranberryspool::decision {

/// A large response of the metadata store has begun to arrive. One of
/// `RecordsRead`, `RecordsChanged` and `RecordsUnavailable` follows.
struct RecordsArriving {};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDSARRIVING_H
