#ifndef CRANBERRYSPOOL_SESSION_TYPES_SESSIONFAILURE_H
#define CRANBERRYSPOOL_SESSION_TYPES_SESSIONFAILURE_H

#include "session/types/sessionfault.h"

#include <cstddef>
#include <string>

namespace cranberryspool::session {

/// The failure of a session: which line, counted from 1, and why.
struct SessionFailure {
  std::size_t Line_ = 0;
  SessionFault Fault_ = SessionFault::NotJson;
  /// The member or kind concerned; empty when there is none.
  std::string Name_;
};

/// Returns the failure as one line of text.
std::string failureLine(const SessionFailure &Failure);

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_TYPES_SESSIONFAILURE_H
