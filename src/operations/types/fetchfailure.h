#ifndef CRANBERRYSPOOL_OPERATIONS_TYPES_FETCHFAILURE_H
#define CRANBERRYSPOOL_OPERATIONS_TYPES_FETCHFAILURE_H

#include <string_view>

namespace cranberryspool::operations {

/// Reason why the status of an instance could not be read.
enum class FetchFailure {
  InvalidAddress,
  CannotConnect,
  TimedOut,
  ConnectionLost,
  UnexpectedStatus
};

/// Returns an error message for the failure, without its subject.
std::string_view fetchFailureText(FetchFailure Failure);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_TYPES_FETCHFAILURE_H
