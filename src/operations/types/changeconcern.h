#ifndef CRANBERRYSPOOL_OPERATIONS_TYPES_CHANGECONCERN_H
#define CRANBERRYSPOOL_OPERATIONS_TYPES_CHANGECONCERN_H

#include <string_view>

namespace cranberryspool::operations {

/// Whom a change of the document reaches.
enum class ChangeConcern { Zones, Targets, Calls, Objectives, Instances };

/// Returns the concern as tools print it, such as `zones`.
std::string_view concernName(ChangeConcern Concern);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_TYPES_CHANGECONCERN_H
