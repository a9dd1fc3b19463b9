#ifndef CRANBERRYSPOOL_SESSION_TYPES_SESSIONERRORCODE_H
#define CRANBERRYSPOOL_SESSION_TYPES_SESSIONERRORCODE_H

namespace cranberryspool::session {

/// The reason why a session cannot be run.
enum class SessionErrorCode {
  /// The line is not valid JSON, or the environment file is not a JSON object.
  InvalidJson,
  /// The line is JSON, but not an object.
  NotAnObject,
  /// A required member of the line is missing or has the wrong type.
  InvalidMember,
  /// The member `do` of the line names no known directive.
  UnknownDirective,
  /// The time of the line is earlier than that of the preceding line.
  TimeGoesBackwards,
  /// The environment file has no valid document, no valid list of instances, or
  /// does not list the instance under test.
  InvalidEnvironment,
};

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_TYPES_SESSIONERRORCODE_H
