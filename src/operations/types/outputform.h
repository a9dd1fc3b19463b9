#ifndef CRANBERRYSPOOL_OPERATIONS_TYPES_OUTPUTFORM_H
#define CRANBERRYSPOOL_OPERATIONS_TYPES_OUTPUTFORM_H

namespace cranberryspool::operations {

/// Whether a command writes for people or for programs.
enum class OutputForm { Text, Json };

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_TYPES_OUTPUTFORM_H
