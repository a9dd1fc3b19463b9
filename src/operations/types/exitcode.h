#ifndef CRANBERRYSPOOL_OPERATIONS_TYPES_EXITCODE_H
#define CRANBERRYSPOOL_OPERATIONS_TYPES_EXITCODE_H

namespace cranberryspool::operations {

/// How a command of cranberryctl ends. The values are part of its interface.
enum class ExitCode : int {
  /// The document is accepted, nothing differs, no objective is in alarm.
  Success = 0,
  /// The command line was not understood.
  UsageError = 1,
  /// The document is refused, something differs, an objective is in alarm.
  NegativeResult = 2,
  /// An input file cannot be read or does not hold what is needed.
  BadInput = 3,
  /// An instance did not answer.
  Unreachable = 4
};

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_TYPES_EXITCODE_H
