#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDHISTORYLOST_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDHISTORYLOST_H

namespace cranberryspool::decision {

/// The metadata store no longer has the changes that a watch requested.
struct RecordHistoryLost {};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDHISTORYLOST_H
