#ifndef CRANBERRYSPOOL_OPERATIONS_INTERNAL_PARSESTATUS_H
#define CRANBERRYSPOOL_OPERATIONS_INTERNAL_PARSESTATUS_H

#include "operations/types/instancestatus.h"

#include <optional>
#include <string>
#include <string_view>

namespace cranberryspool::operations {

/// Parses the displayed members of a status response; returns nothing when the
/// text is not a JSON object. The tables are the members `targets`, `queues`
/// and `peers`; the members of the first row of each define its columns.
std::optional<InstanceStatus> parseStatus(std::string Address,
                                          std::string_view Text);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_INTERNAL_PARSESTATUS_H
