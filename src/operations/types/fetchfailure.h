#ifndef CRANBERRYSPOOL_OPERATIONS_TYPES_FETCHFAILURE_H
#define CRANBERRYSPOOL_OPERATIONS_TYPES_FETCHFAILURE_H

#include <string_view>

namespace cranberryspool::operations {

/// Why the status of an instance could not be read.
enum class FetchFailure {
  InvalidAddress,
  CannotConnect,
  TimedOut,
  ConnectionLost,
  UnexpectedStatus
};

/// Returns the failure as a phrase.
std::string_view fetchFailureText(FetchFailure Failure);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_TYPES_FETCHFAILURE_H
