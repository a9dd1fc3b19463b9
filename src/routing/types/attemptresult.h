#ifndef CRANBERRYSPOOL_ROUTING_TYPES_ATTEMPTRESULT_H
#define CRANBERRYSPOOL_ROUTING_TYPES_ATTEMPTRESULT_H

namespace cranberryspool::routing {

/// The result of an attempt, as far as target selection distinguishes it.
enum class AttemptResult {
  Answered,
  /// The target responded with a server error (5xx).
  ServerError,
  /// The target responded that it did not run the request.
  NotRun,
  ConnectionFailed,
  /// No connection to the target could be opened, so nothing was sent.
  NotConnected,
  /// The connection went silent; this is not held against the target.
  ConnectionSilent,
  TimedOut,
  /// This instance cancelled the attempt, for example because the hedge of the
  /// same call was answered first.
  Cancelled,
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_TYPES_ATTEMPTRESULT_H
