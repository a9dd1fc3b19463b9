#ifndef CRANBERRYSPOOL_DECISION_TYPES_PEERSTATUS_H
#define CRANBERRYSPOOL_DECISION_TYPES_PEERSTATUS_H

#include "framework/ids.h"

namespace cranberryspool::decision {

/// Another instance on the platform's list.
struct PeerStatus {
  framework::InstanceName Peer_;
  framework::ZoneName Zone_;
  bool IsLeaving_ = false;
  /// True when it was heard lately.
  bool IsReachable_ = false;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_PEERSTATUS_H
