#ifndef CRANBERRYSPOOL_SESSION_TYPES_SESSIONERROR_H
#define CRANBERRYSPOOL_SESSION_TYPES_SESSIONERROR_H

#include "session/types/sessionfault.h"

#include <cstddef>
#include <string>

namespace cranberryspool::session {

/// The failure of a session: which line, counted from 1, and why.
struct SessionError {
  std::size_t Line_ = 0;
  SessionFault Fault_ = SessionFault::NotJson;
  /// The member or kind concerned; empty when there is none.
  std::string Name_;
};

/// Returns the failure as one line of text.
std::string formatSessionError(const SessionError &Failure);

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_TYPES_SESSIONERROR_H
