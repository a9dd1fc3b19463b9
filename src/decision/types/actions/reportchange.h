#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REPORTCHANGE_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REPORTCHANGE_H

#include "decision/types/changekind.h"

#include "routing/types/requestrate.h"

#include <optional>
#include <string>

namespace cranberryspool::decision {

/// Log a change of state.
struct ReportChange {
  ChangeKind Kind_;
  /// The name of the affected target, zone, service or instance, or the
  /// revision.
  std::string Subject_;
  /// The new limit of a target that limits its requests.
  std::optional<routing::RequestRate> RequestLimit_ = std::nullopt;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REPORTCHANGE_H
