#ifndef CRANBERRYSPOOL_OPERATIONS_INTERNAL_PARSESTATUS_H
#define CRANBERRYSPOOL_OPERATIONS_INTERNAL_PARSESTATUS_H

#include "operations/types/instancestatus.h"

#include <optional>
#include <string>
#include <string_view>

namespace cranberryspool::operations {

/// Reads what is shown of a status; nothing when it is no JSON object. The
/// tables are the members `targets`, `queues` and `peers`; their columns are
/// those of their first row.
std::optional<InstanceStatus> parseStatus(std::string Address,
                                          std::string_view Text);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_INTERNAL_PARSESTATUS_H
