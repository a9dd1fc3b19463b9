#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDHISTORYLOST_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDHISTORYLOST_H

namespace cranberryspool::decision {

/// The store has dropped the changes that a watch asked for.
struct RecordHistoryLost {};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_RECORDHISTORYLOST_H
