#ifndef CRANBERRYSPOOL_SESSION_TYPES_SESSIONFAULT_H
#define CRANBERRYSPOOL_SESSION_TYPES_SESSIONFAULT_H

namespace cranberryspool::session {

/// Why a line of a session cannot be carried out.
enum class SessionFault {
  NotJson,
  NotAnObject,
  /// A member that the kind of line needs is missing or of the wrong type.
  BadMember,
  UnknownKind,
  /// The time lies before that of the line before.
  GoesBack,
  /// The environment's file cannot be read or its document is not valid.
  BadEnvironment,
};

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_TYPES_SESSIONFAULT_H
