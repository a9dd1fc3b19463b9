#ifndef CRANBERRYSPOOL_OPERATIONS_TYPES_OUTPUTFORMAT_H
#define CRANBERRYSPOOL_OPERATIONS_TYPES_OUTPUTFORMAT_H

namespace cranberryspool::operations {

/// Whether a command writes for people or for programs.
enum class OutputFormat { Text, Json };

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_TYPES_OUTPUTFORMAT_H
