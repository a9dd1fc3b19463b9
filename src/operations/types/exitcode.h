#ifndef CRANBERRYSPOOL_OPERATIONS_TYPES_EXITCODE_H
#define CRANBERRYSPOOL_OPERATIONS_TYPES_EXITCODE_H

namespace cranberryspool::operations {

/// Exit status of a cranberryctl command. The numeric values are part of its
/// command line interface.
enum class ExitCode : int {
  /// The check succeeded: the document is accepted, nothing differs, or no
  /// alert fires.
  Success = 0,
  /// The command line is invalid.
  UsageError = 1,
  /// The check failed: the document is refused, there are differences, or an
  /// alert fires.
  NegativeResult = 2,
  /// An input file cannot be read or lacks the required data.
  BadInput = 3,
  /// The status of an instance could not be read.
  Unreachable = 4
};

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_TYPES_EXITCODE_H
