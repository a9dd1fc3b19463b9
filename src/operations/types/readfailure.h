#ifndef CRANBERRYSPOOL_OPERATIONS_TYPES_READFAILURE_H
#define CRANBERRYSPOOL_OPERATIONS_TYPES_READFAILURE_H

namespace cranberryspool::operations {

/// Reason why a file could not be read.
enum class ReadFailure { CannotOpen, CannotRead, TooLarge };

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_TYPES_READFAILURE_H
