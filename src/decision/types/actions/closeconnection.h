#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_CLOSECONNECTION_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_CLOSECONNECTION_H

#include "framework/ids.h"

namespace cranberryspool::decision {

/// Close a connection. An attempt on it is aborted, and no event follows.
struct CloseConnection {
  framework::ConnectionId Connection_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_CLOSECONNECTION_H
