#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_SETREADINESS_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_SETREADINESS_H

namespace cranberryspool::decision {

/// Tell the platform's balancer whether to send callers here.
struct SetReadiness {
  bool IsReady_ = false;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_SETREADINESS_H
