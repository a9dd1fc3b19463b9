#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_FINISHSTOP_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_FINISHSTOP_H

namespace cranberryspool::decision {

/// All accepted calls have ended: the process may exit.
struct FinishStop {};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_FINISHSTOP_H
