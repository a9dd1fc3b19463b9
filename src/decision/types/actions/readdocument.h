#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_READDOCUMENT_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_READDOCUMENT_H

#include "framework/ids.h"

#include <optional>

namespace cranberryspool::decision {

/// Read the configuration service, or watch it for a revision above the given
/// one. Answered by `DocumentPublished` or `DocumentUnavailable`.
struct ReadDocument {
  std::optional<framework::Revision> NewerThan_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_READDOCUMENT_H
