#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_TICK_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_TICK_H

namespace cranberryspool::decision {

/// The wake-up time of the core has come. Must be handled no later than
/// `Core::nextWakeUp`.
struct Tick {};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_TICK_H
