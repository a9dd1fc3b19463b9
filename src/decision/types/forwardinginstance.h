#ifndef CRANBERRYSPOOL_DECISION_TYPES_FORWARDINGINSTANCE_H
#define CRANBERRYSPOOL_DECISION_TYPES_FORWARDINGINSTANCE_H

#include "framework/ids.h"

#include <string>

namespace cranberryspool::decision {

/// The instance that has forwarded a call because it reaches no target, as the
/// request states it.
struct ForwardingInstance {
  framework::InstanceName Name_;
  framework::Incarnation Incarnation_;
  /// The IP address from which the request came.
  std::string Address_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_FORWARDINGINSTANCE_H
