#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_TICK_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_TICK_H

namespace cranberryspool::decision {

/// Time has passed; handled no later than `nextWakeUp` of the core.
struct Tick {};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_TICK_H
