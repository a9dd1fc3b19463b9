#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REPORTCHANGE_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REPORTCHANGE_H

#include "decision/types/changekind.h"
#include "framework/ids.h"
#include "framework/time.h"
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
  /// Where news of the published state came from: `store` or an instance.
  std::string Source_{};
  /// The revision that other instances have announced.
  std::optional<framework::Revision> Announced_ = std::nullopt;
  /// How long the state that has ended lasted.
  std::optional<framework::Duration> Elapsed_ = std::nullopt;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_REPORTCHANGE_H
