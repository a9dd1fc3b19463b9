#ifndef CRANBERRYSPOOL_OPERATIONS_TYPES_CHANGECATEGORY_H
#define CRANBERRYSPOOL_OPERATIONS_TYPES_CHANGECATEGORY_H

#include <string_view>

namespace cranberryspool::operations {

/// The area that a change of the document affects.
enum class ChangeCategory {
  Zones,
  Targets,
  Calls,
  Workspaces,
  Objectives,
  Instances
};

/// Returns the category as cranberryctl prints it, such as `zones`.
std::string_view categoryName(ChangeCategory Category);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_TYPES_CHANGECATEGORY_H
