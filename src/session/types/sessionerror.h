#ifndef CRANBERRYSPOOL_SESSION_TYPES_SESSIONERROR_H
#define CRANBERRYSPOOL_SESSION_TYPES_SESSIONERROR_H

#include "session/types/sessionerrorcode.h"

#include <cstddef>
#include <string>

namespace cranberryspool::session {

/// An error in a session script or in its environment file.
struct SessionError {
  /// The line of the script, counted from 1; 0 for the environment file.
  std::size_t Line_ = 0;
  SessionErrorCode Code_ = SessionErrorCode::InvalidJson;
  /// The invalid member or the unknown directive; empty if neither applies.
  std::string Subject_;
};

/// Returns the error as one line of text for the operator.
std::string formatSessionError(const SessionError &Error);

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_TYPES_SESSIONERROR_H
