#ifndef CRANBERRYSPOOL_SESSION_TYPES_TARGETMODE_H
#define CRANBERRYSPOOL_SESSION_TYPES_TARGETMODE_H

namespace cranberryspool::session {

/// How a scripted target handles attempts and probes.
enum class TargetMode {
  /// Answers attempts successfully.
  Respond,
  /// Answers attempts with status 500.
  ServerError,
  /// Sheds load: answers with status 503 and states that the attempt did not
  /// run.
  Shed,
  /// Sheds all load and reports that the target is draining.
  Drain,
  /// Answers with the id of a different attempt.
  MismatchedId,
  /// Truncates the response.
  Truncate,
  /// Resets the connection instead of answering.
  Reset,
  /// Keeps connections open but answers neither attempts nor probes.
  Silent,
  /// Refuses new connections and does not answer probes.
  Refuse,
};

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_TYPES_TARGETMODE_H
