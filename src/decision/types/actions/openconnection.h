#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_OPENCONNECTION_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_OPENCONNECTION_H

#include "framework/ids.h"

#include <string>

namespace cranberryspool::decision {

/// Open a connection to a target. Answered by `ConnectionOpened` or
/// `ConnectionClosed`.
struct OpenConnection {
  framework::ConnectionId Connection_;
  framework::TargetId Target_;
  std::string Address_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_OPENCONNECTION_H
