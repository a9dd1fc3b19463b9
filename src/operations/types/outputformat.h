#ifndef CRANBERRYSPOOL_OPERATIONS_TYPES_OUTPUTFORMAT_H
#define CRANBERRYSPOOL_OPERATIONS_TYPES_OUTPUTFORMAT_H

namespace cranberryspool::operations {

/// Format of the output of a command: text for people, JSON for programs.
enum class OutputFormat { Text, Json };

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_TYPES_OUTPUTFORMAT_H
