#ifndef CRANBERRYSPOOL_SCHEDULING_TYPES_FLOWID_H
#define CRANBERRYSPOOL_SCHEDULING_TYPES_FLOWID_H

#include "framework/ids.h"

#include <optional>

namespace cranberryspool::scheduling {

/// Identifies the calls among which capacity is shared as one party: those of
/// one workspace, or those of none.
using FlowId = std::optional<framework::WorkspaceId>;

} // namespace cranberryspool::scheduling

#endif // CRANBERRYSPOOL_SCHEDULING_TYPES_FLOWID_H
