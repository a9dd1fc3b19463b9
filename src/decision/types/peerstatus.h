#ifndef CRANBERRYSPOOL_DECISION_TYPES_PEERSTATUS_H
#define CRANBERRYSPOOL_DECISION_TYPES_PEERSTATUS_H

#include "framework/ids.h"

namespace cranberryspool::decision {

/// The status of another instance on the platform's list.
struct PeerStatus {
  framework::InstanceName Peer_;
  framework::ZoneName Zone_;
  bool IsLeaving_ = false;
  /// True if a message of the peer was received recently.
  bool IsReachable_ = false;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_PEERSTATUS_H
