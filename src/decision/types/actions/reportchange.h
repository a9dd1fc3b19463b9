#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REPORTCHANGE_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REPORTCHANGE_H

#include "decision/types/changekind.h"

#include <string>

namespace cranberryspool::decision {

/// A change of state worth a log line.
struct ReportChange {
  ChangeKind Kind_;
  /// The name of the target, zone, service, instance or revision concerned.
  std::string Subject_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REPORTCHANGE_H
