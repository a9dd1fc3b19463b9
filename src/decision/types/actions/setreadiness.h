#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_SETREADINESS_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_SETREADINESS_H

namespace cranberryspool::decision {

/// Tell the platform's load balancer whether to send callers to this instance.
struct SetReadiness {
  bool IsReady_ = false;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_SETREADINESS_H
