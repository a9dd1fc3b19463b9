#ifndef CRANBERRYSPOOL_SESSION_TYPES_TARGETMODE_H
#define CRANBERRYSPOOL_SESSION_TYPES_TARGETMODE_H

namespace cranberryspool::session {

/// What a scripted target does with an attempt.
enum class TargetMode {
  Answer,
  /// Answers with status 500.
  Fail,
  /// Says that it did not run the attempt.
  Shed,
  /// Sheds, and reports that it drains.
  Drain,
  /// Answers in the name of another attempt.
  Cross,
  /// Cuts the answer short.
  Truncate,
  /// Resets the connection.
  Reset,
  /// Never answers.
  Silent,
  /// Refuses new connections.
  Refuse,
};

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_TYPES_TARGETMODE_H
