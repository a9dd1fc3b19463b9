#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_READDOCUMENT_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_READDOCUMENT_H

#include "framework/ids.h"
#include "framework/time.h"

#include <optional>

namespace cranberryspool::decision {

/// Read the configuration service, or watch it for a revision newer than the
/// given one. Answered by exactly one of `DocumentPublished`,
/// `DocumentUnchanged` and `DocumentUnavailable`.
struct ReadDocument {
  std::optional<framework::Revision> NewerThan_;
  /// How long the service may delay its answer while there is no newer
  /// revision; zero for a plain read.
  framework::Duration Wait_{};
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_READDOCUMENT_H
